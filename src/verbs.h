/// \file
/// Verbs (subcommands) of the command line.
#ifndef GUAVASAIL_SRC_VERBS_H
#define GUAVASAIL_SRC_VERBS_H

#include <span>
#include <string_view>

namespace guavasail {

/// Exit codes of the program. `BadInput` stands for a wrong command line,
/// settings file or standard input.
enum class ExitCode : int { Success = 0, Failure = 1, BadInput = 2 };

/// A verb with the flags that it accepts.
struct Verb {
  std::string_view Name;
  std::string_view Summary;
  std::span<const std::string_view> Flags;
  ExitCode (*Run)(std::span<const std::string_view> operands);
};

/// \returns all verbs.
std::span<const Verb> verbs();

ExitCode runServe(std::span<const std::string_view> operands);
ExitCode runCheck(std::span<const std::string_view> operands);
ExitCode runDigest(std::span<const std::string_view> operands);

} // namespace guavasail

#endif
