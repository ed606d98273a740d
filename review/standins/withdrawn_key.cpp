/// \file
/// A key is added and withdrawn again within a second. Of the two daemons that
/// read the store, one has read the version with the key and the other has
/// not; then the store turns the first one away.
#include "rig.h"

#include <algorithm>

namespace {

using namespace rig;

constexpr size_t Daemons = 6;
constexpr int64_t RevocationMs = 5000;
constexpr int64_t OutageMs = 9000;
constexpr int Attempts = 5;
constexpr const char *Key = "lasting-key-0123456789";
constexpr const char *Withdrawn = "withdrawn-key-9876543210";

/// A daemon that reads the configuration for the others, and when it last did.
struct Reader {
  size_t Daemon;
  int64_t ReadAt;
};

/// \returns the daemons that read the configuration in the last 1.5 s, the
/// latest one last.
std::vector<Reader> readers(Fleet &fleet) {
  std::vector<Reader> list;
  for (size_t n = 0; n < Daemons; ++n) {
    int64_t at = fleet.Platform.lastRead(n).first;
    if (at > 0 && nowMs() - at < 1500)
      list.push_back({n, at});
  }
  std::sort(list.begin(), list.end(), [](const Reader &a, const Reader &b) {
    return a.ReadAt < b.ReadAt;
  });
  return list;
}

/// Waits until \p daemon has read revision \p revision or a later one.
bool awaitRead(Fleet &fleet, size_t daemon, uint64_t revision, int64_t millis) {
  for (int64_t limit = nowMs() + millis; nowMs() < limit; sleepMs(2))
    if (fleet.Platform.lastRead(daemon).second >= revision)
      return true;
  return false;
}

/// Waits until \p daemon reads the configuration once more.
void awaitNextRead(Fleet &fleet, size_t daemon) {
  int64_t before = fleet.Platform.lastRead(daemon).first;
  for (int64_t limit = nowMs() + 3000; nowMs() < limit; sleepMs(2))
    if (fleet.Platform.lastRead(daemon).first > before)
      return;
  giveUp("a reader stopped reading");
}

std::string config(int version, bool withKey) {
  std::vector<std::string> keys = {Key};
  if (withKey)
    keys.emplace_back(Withdrawn);
  return configuration(version, keys, {{"/a/", "safe", "service-a"}});
}

/// Adds the key while two daemons read the store.
/// \returns the daemon that has read the version with the key, if it is the
/// only one.
std::optional<size_t> addKey(Fleet &daemons, int version) {
  Store &store = daemons.Platform;
  std::vector<Reader> list = readers(daemons);
  if (list.size() != 2)
    return std::nullopt;
  // The one that reads shortly before the other one is to miss the version.
  size_t missing = list[1].Daemon;
  size_t seeing = list[0].Daemon;
  if (list[1].ReadAt - list[0].ReadAt < 550)
    std::swap(missing, seeing);
  record()->line("daemons %zu and %zu read the store; %zu is to see the key",
                 missing, seeing, seeing);
  awaitNextRead(daemons, missing);
  uint64_t added = store.put("op/config", config(version, true));
  record()->line("operator adds a key: version %d, revision %llu", version,
                 static_cast<unsigned long long>(added));
  if (!awaitRead(daemons, seeing, added, 2000))
    return std::nullopt;
  sleepMs(300);
  if (store.lastRead(missing).second >= added)
    return std::nullopt;
  return seeing;
}

bool run(Arrival &it) {
  record()->line("instance runs %s", it.Id.c_str());
  return it.Connection.send(wholeAnswer(it.Id, "done"));
}

} // namespace

int main(int argc, char **argv) {
  begin(argc, argv);
  Fleet daemons(Daemons);
  fleet() = &daemons;
  Store &store = daemons.Platform;
  store.put("op/config", config(1, false));
  Instance one(store, "i-1", "service-a", "zone-a", 6, &run);
  Instance two(store, "i-2", "service-a", "zone-b", 6, &run);
  if (!one.open(daemons.instanceIp(0), Fleet::InstancePort) ||
      !two.open(daemons.instanceIp(1), Fleet::InstancePort))
    giveUp("an instance's port is in use");
  daemons.startAll();
  daemons.awaitReady();
  sleepMs(3000);

  std::optional<size_t> reader;
  for (int version = 2; !reader && version <= 2 * Attempts; version += 2) {
    reader = addKey(daemons, version);
    if (reader)
      break;
    store.put("op/config", config(version + 1, false));
    record()->line("operator withdraws the key; once more from the start");
    sleepMs(3000);
  }
  if (!reader)
    giveUp("no version was read by one of two daemons only");
  size_t seeing = *reader;
  uint64_t removed = store.put("op/config", config(2 * Attempts + 3, false));
  int64_t acknowledged = nowMs();
  if (troubled())
    store.turnAway(seeing, true);
  record()->line("operator withdraws the key: revision %llu%s",
                 static_cast<unsigned long long>(removed),
                 troubled() ? "; the store turns the reader away" : "");

  int runs = 0;
  int sent = 0;
  for (int round = 0; nowMs() < acknowledged + OutageMs - 500; ++round) {
    for (size_t n = 0; n < Daemons; ++n) {
      Request request;
      request.Path = "/a/x";
      request.Id = "w" + std::to_string(round) + "-" + std::to_string(n);
      request.Key = Withdrawn;
      request.DeadlineMs = 2000;
      int64_t after = nowMs() - acknowledged;
      Answer answer = call(daemons.ip(n), Fleet::FrontPort, request);
      bool late = after > RevocationMs;
      bool ran = answer.Status == 200;
      sent += late ? 1 : 0;
      runs += late && ran ? 1 : 0;
      record()->line("%s to daemon %zu, %.2f s after the acknowledgement: %d",
                     request.Id.c_str(), n, static_cast<double>(after) / 1000,
                     answer.Status);
    }
    sleepMs(200);
  }
  store.turnAway(seeing, false);
  std::string verdict = std::to_string(runs) + " of " + std::to_string(sent) +
                        " requests ran whose withdrawn key was sent later than "
                        "revocation_ms after the acknowledgement";
  finish(runs > 0 ? Broken : Held, verdict);
}
