/// \file
/// Verbs of the command line.
#ifndef GUAVASAIL_SRC_VERBS_H
#define GUAVASAIL_SRC_VERBS_H

#include <span>
#include <string_view>

namespace guavasail {

/// Exit codes of the program.
enum class ExitCode : int { Success = 0, Failure = 1, BadInput = 2 };

/// One verb with the flags that it reads.
struct Verb {
  std::string_view Name;
  std::string_view Summary;
  std::span<const std::string_view> Flags;
  ExitCode (*Run)(std::span<const std::string_view> words);
};

/// \returns all verbs.
std::span<const Verb> verbs();

ExitCode runServe(std::span<const std::string_view> words);
ExitCode runCheck(std::span<const std::string_view> words);
ExitCode runDigest(std::span<const std::string_view> words);

} // namespace guavasail

#endif
