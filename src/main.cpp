#include "verbs.h"

#include <algorithm>
#include <array>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <string>
#include <vector>

namespace guavasail {

namespace {

constexpr std::string_view Version = "0.1.0";
constexpr std::string_view SettingsFlag[] = {"settings"};

constexpr auto Verbs = std::to_array<Verb>({
    {"serve", "runs the daemon", SettingsFlag, &runServe},
    {"check", "checks a settings file", SettingsFlag, &runCheck},
    {"digest",
     "prints the digest of the key on standard input",
     {},
     &runDigest},
});

void printHelp(std::ostream &out) {
  out << "usage: guavasail VERB [--FLAG VALUE ...]\n\nverbs:\n";
  for (const Verb &verb : Verbs) {
    out << "  " << verb.Name << ": " << verb.Summary << "\n";
    for (std::string_view name : verb.Flags) {
      auto flag =
          gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
      out << "    --" << name << " (" << flag.type << "): " << flag.description
          << "\n";
    }
  }
  out << "\n  --help prints this text, --version the version.\n";
}

const Verb *findVerb(std::string_view name) {
  auto it = std::find_if(Verbs.begin(), Verbs.end(),
                         [&](const Verb &verb) { return verb.Name == name; });
  return it == Verbs.end() ? nullptr : &*it;
}

ExitCode reportUsageError(std::string_view problem, std::string_view arg) {
  std::cerr << "guavasail: " << problem << " \"" << arg
            << "\"; see guavasail --help\n";
  return ExitCode::BadInput;
}

/// A flag as given on the command line.
struct FlagArgument {
  std::string_view Name;
  std::string_view Value;
  bool HasValue = false;
};

FlagArgument parseFlag(std::string_view arg) {
  arg.remove_prefix(2);
  size_t equals = arg.find('=');
  if (equals == std::string_view::npos)
    return {arg, {}, false};
  return {arg.substr(0, equals), arg.substr(equals + 1), true};
}

bool acceptsFlag(const Verb &verb, std::string_view name) {
  return std::find(verb.Flags.begin(), verb.Flags.end(), name) !=
         verb.Flags.end();
}

/// \returns false if gflags rejects the value.
bool setFlag(const FlagArgument &flag) {
  std::string name(flag.Name);
  std::string value(flag.Value);
  return !gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty();
}

ExitCode runMain(int argc, char **argv) {
  std::vector<std::string_view> args(argv + 1, argv + argc);
  auto has = [&](std::string_view arg) {
    return std::find(args.begin(), args.end(), arg) != args.end();
  };
  if (has("--help")) {
    printHelp(std::cout);
    return ExitCode::Success;
  }
  if (has("--version")) {
    std::cout << "guavasail " << Version << "\n";
    return ExitCode::Success;
  }
  if (args.empty())
    return reportUsageError("expected a verb instead of", "");
  const Verb *verb = findVerb(args.front());
  if (!verb)
    return reportUsageError("unknown verb", args.front());
  std::vector<std::string_view> operands;
  for (size_t n = 1; n < args.size(); ++n) {
    if (!args[n].starts_with("--")) {
      operands.push_back(args[n]);
      continue;
    }
    FlagArgument flag = parseFlag(args[n]);
    if (!acceptsFlag(*verb, flag.Name))
      return reportUsageError("unknown flag", args[n]);
    if (!flag.HasValue && n + 1 < args.size())
      flag.Value = args[++n];
    if (!setFlag(flag))
      return reportUsageError("bad value of flag", flag.Name);
  }
  return verb->Run(operands);
}

} // namespace

std::span<const Verb> verbs() { return Verbs; }

} // namespace guavasail

int main(int argc, char **argv) {
  if (sodium_init() < 0)
    return static_cast<int>(guavasail::ExitCode::Failure);
  return static_cast<int>(guavasail::runMain(argc, argv));
}
