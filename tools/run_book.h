/// \file
/// What a stand-in has run: one entry for each numbered request.
#ifndef GUAVASAIL_TOOLS_RUN_BOOK_H
#define GUAVASAIL_TOOLS_RUN_BOOK_H

#include <string>
#include <string_view>
#include <vector>

/// Names of the non-idempotent requests that were run, in order.
class RunBook {
public:
  /// Notes that the request called \p name begins to run.
  void add(std::string_view name) { Names.emplace_back(name); }

  /// \returns all names, one a line; a name that ran twice is there twice.
  [[nodiscard]] std::string lines() const {
    std::string out;
    for (const std::string &name : Names)
      out.append(name).append("\n");
    return out;
  }

private:
  std::vector<std::string> Names;
};

#endif
