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

ExitCode failUsage(std::string_view what, std::string_view word) {
  std::cerr << "guavasail: " << what << " \"" << word
            << "\"; see guavasail --help\n";
  return ExitCode::BadInput;
}

/// A flag as written on the command line.
struct FlagWord {
  std::string_view Name;
  std::string_view Value;
  bool HasValue = false;
};

FlagWord splitFlag(std::string_view word) {
  word.remove_prefix(2);
  size_t equals = word.find('=');
  if (equals == std::string_view::npos)
    return {word, {}, false};
  return {word.substr(0, equals), word.substr(equals + 1), true};
}

bool hasFlag(const Verb &verb, std::string_view name) {
  return std::find(verb.Flags.begin(), verb.Flags.end(), name) !=
         verb.Flags.end();
}

/// \returns false if gflags does not take the value.
bool setFlag(const FlagWord &flag) {
  std::string name(flag.Name);
  std::string value(flag.Value);
  return !gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty();
}

ExitCode runMain(int argc, char **argv) {
  std::vector<std::string_view> words(argv + 1, argv + argc);
  auto has = [&](std::string_view word) {
    return std::find(words.begin(), words.end(), word) != words.end();
  };
  if (has("--help")) {
    printHelp(std::cout);
    return ExitCode::Success;
  }
  if (has("--version")) {
    std::cout << "guavasail " << Version << "\n";
    return ExitCode::Success;
  }
  if (words.empty())
    return failUsage("expected a verb instead of", "");
  const Verb *verb = findVerb(words.front());
  if (!verb)
    return failUsage("unknown verb", words.front());
  std::vector<std::string_view> rest;
  for (size_t n = 1; n < words.size(); ++n) {
    if (!words[n].starts_with("--")) {
      rest.push_back(words[n]);
      continue;
    }
    FlagWord flag = splitFlag(words[n]);
    if (!hasFlag(*verb, flag.Name))
      return failUsage("unknown flag", words[n]);
    if (!flag.HasValue && n + 1 < words.size())
      flag.Value = words[++n];
    if (!setFlag(flag))
      return failUsage("bad value of flag", flag.Name);
  }
  return verb->Run(rest);
}

} // namespace

std::span<const Verb> verbs() { return Verbs; }

} // namespace guavasail

int main(int argc, char **argv) {
  if (sodium_init() < 0)
    return static_cast<int>(guavasail::ExitCode::Failure);
  return static_cast<int>(guavasail::runMain(argc, argv));
}
