/// \file
/// Compares the membership strategies: detection time, false positives, and the
/// cost per daemon with 8 to 500 peers. Prints `name value unit` lines.
#include "../tests/member_fleet.h"
#include "peer_auth.h"
#include "peer_codec_cbor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <sodium.h>
#include <string>

namespace guavasail {

namespace {

using std::chrono::seconds;

constexpr size_t FleetSize = 8;
constexpr uint64_t Seeds = 20;
constexpr Duration SettleTime = seconds(20);
constexpr Duration ObservationTime = seconds(60);
constexpr uint64_t FirstIncarnation = uint64_t{1} << 40;

struct StrategyRow {
  std::string_view Name;
  MembershipKind Kind;
};

constexpr StrategyRow Strategies[] = {
    {"all-to-all", MembershipKind::AllToAll},
    {"probing", MembershipKind::Probing},
};

void print(const std::string &name, double value, std::string_view unit) {
  std::cout << "membership." << name << " " << value << " " << unit << "\n";
}

double inSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

void measureDetection(const StrategyRow &row) {
  std::vector<double> first;
  std::vector<double> all;
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    MemberFleet fleet(FleetSize, row.Kind, seed);
    fleet.run(SettleTime);
    fleet.stop(0);
    auto seenBy = [&](size_t n) {
      return [&fleet, n] { return fleet.count(0, VmState::Gone) >= n; };
    };
    Duration toFirst = fleet.runUntil(seenBy(1), ObservationTime);
    Duration toAll =
        toFirst + fleet.runUntil(seenBy(FleetSize - 1), ObservationTime);
    first.push_back(inSeconds(toFirst));
    all.push_back(inSeconds(toAll));
  }
  std::sort(first.begin(), first.end());
  std::sort(all.begin(), all.end());
  std::string name = std::string(row.Name) + ".dead.";
  print(name + "first.p50", first[first.size() / 2], "s");
  print(name + "all.p50", all[all.size() / 2], "s");
  print(name + "all.max", all.back(), "s");
}

/// A fault that stops no VM. Subjects before
/// `FirstCounted` are not counted.
struct FaultRow {
  std::string_view Name;
  uint32_t LossPercent;
  size_t FirstCounted;
  void (*Inject)(MemberFleet &fleet);
};

constexpr FaultRow Faults[] = {
    {"no-fault", 0, 0, [](MemberFleet &) {}},
    {"loss-5", 5, 0, [](MemberFleet &) {}},
    {"loss-20", 20, 0, [](MemberFleet &) {}},
    {"loss-40", 40, 0, [](MemberFleet &) {}},
    {"one-way-cut-to-one", 0, 0,
     [](MemberFleet &fleet) { fleet.setBlocked(0, 1, true); }},
    {"cut-of-one-pair", 0, 0,
     [](MemberFleet &fleet) {
       fleet.setBlocked(0, 1, true);
       fleet.setBlocked(1, 0, true);
     }},
    {"pause-3s", 0, 0, [](MemberFleet &fleet) { fleet.pause(0, seconds(3)); }},
    {"pause-6s", 0, 0, [](MemberFleet &fleet) { fleet.pause(0, seconds(6)); }},
    {"accused-by-cut-off", 0, 1,
     [](MemberFleet &fleet) { fleet.setIsolated(0, true); }},
};

/// Prints the fraction of time for which a VM wrongly sees another one as gone,
/// averaged over all ordered pairs.
void measureFalsePositives(const StrategyRow &row, const FaultRow &fault) {
  double falseSeconds = 0;
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    MemberFleet fleet(FleetSize, row.Kind, seed);
    fleet.run(SettleTime);
    fleet.Quality.LossPercent = fault.LossPercent;
    fault.Inject(fleet);
    Instant last = fleet.now();
    size_t falsePairs = 0;
    fleet.run(ObservationTime, [&] {
      falseSeconds +=
          static_cast<double>(falsePairs) * inSeconds(fleet.now() - last);
      last = fleet.now();
      falsePairs = 0;
      for (size_t n = fault.FirstCounted; n < fleet.size(); ++n)
        falsePairs += fleet.count(n, VmState::Gone);
    });
  }
  double pairs = static_cast<double>(FleetSize * (FleetSize - 1));
  double share = falseSeconds / (pairs * inSeconds(ObservationTime) * Seeds);
  print(std::string(row.Name) + ".wrongly-gone." + std::string(fault.Name),
        100 * share, "%");
}

/// One `Membership` with encoding and authentication of its messages, under the
/// message load of its peers.
class DaemonLoad {
public:
  DaemonLoad(MembershipKind kind, size_t peers, bool withUpdates)
      : Kind(kind), WithUpdates(withUpdates), Specs(makeSpecs(peers + 1)),
        Part({Specs[0], FirstIncarnation, kind, 1}, Zones) {
    Part.onList(Specs, {Now, Effects});
    Effects.clear();
  }

  void run(Duration time) {
    Instant end = Now + time;
    auto start = std::chrono::steady_clock::now();
    while (Now < end) {
      Now += seconds(1);
      receivePeers();
      Part.advance({Now, Effects});
      sendAll();
      answerPings();
      sendAll();
    }
    auto spent = std::chrono::steady_clock::now() - start;
    Seconds = inSeconds(time);
    CpuShare = std::chrono::duration<double>(spent).count() / Seconds;
  }

  [[nodiscard]] double bytesPerSecond() const { return Bytes / Seconds; }
  [[nodiscard]] double messagesPerSecond() const { return Messages / Seconds; }
  [[nodiscard]] double corePercent() const { return 100 * CpuShare; }

private:
  /// WebSocket header of one frame, and TCP and IP headers of the frame and of
  /// its acknowledgement.
  static constexpr size_t FrameOverheadBytes = 8 + 2 * 52;
  static constexpr size_t UpdatesPerMessage = 6;

  static std::vector<VmSpec> makeSpecs(size_t n) {
    static constexpr std::array ZoneNames = {"cabo-vela", "riohacha", "uribia",
                                             "manaure"};
    std::vector<VmSpec> specs(n);
    for (size_t it = 0; it < n; ++it) {
      specs[it].Name = "entry-vm-" + std::to_string(it);
      specs[it].Address = "10.0.0.1";
      specs[it].PeerPort = 7000;
      specs[it].Zone = ZoneNames[it % ZoneNames.size()];
      specs[it].Region = "guajira";
    }
    return specs;
  }

  VmHandle peer(uint64_t n) {
    return Part.find(Specs[1 + n % (Specs.size() - 1)].Name);
  }

  /// Encodes and seals a message as its sender does, then opens, decodes and
  /// handles it as this daemon does.
  void receive(VmHandle from, const PeerBody &body) {
    Plain.clear();
    encode(body, Plain);
    Sealed.clear();
    Remote.seal(Plain, Sealed);
    count();
    auto payload = Opener.open(Sealed);
    auto message = decode(*payload);
    std::visit(
        [&](const auto &it) {
          MemberStep step{Now, Effects};
          if constexpr (requires { Part.onMessage(from, it, step); })
            Part.onMessage(from, it, step);
        },
        message.value());
  }

  void count() {
    Bytes += static_cast<double>(Sealed.size() + FrameOverheadBytes);
    Messages += 1;
  }

  MemberPing peerPing() {
    MemberPing ping;
    ping.Sequence = ++Sequence;
    ping.Incarnation = FirstIncarnation;
    for (size_t n = 0; WithUpdates && n < UpdatesPerMessage; ++n) {
      uint64_t serial = Sequence * UpdatesPerMessage + n;
      const VmSpec &spec = Specs[1 + serial % (Specs.size() - 1)];
      ping.Updates.push_back({spec.Name, VmState::Alive,
                              FirstIncarnation + serial, spec.Address,
                              spec.PeerPort, spec.Zone, spec.Region});
    }
    return ping;
  }

  void receivePeers() {
    if (Kind == MembershipKind::AllToAll) {
      for (uint64_t n = 0; n + 1 < Specs.size(); ++n)
        receive(peer(n), Heartbeat{FirstIncarnation, 0, false});
      return;
    }
    // Every peer pings one VM per second: one ping arrives on average.
    receive(peer(Sequence), peerPing());
  }

  void answerPings() {
    for (auto &[from, sequence] : Pings) {
      MemberAck ack;
      ack.Sequence = sequence;
      ack.Incarnation = FirstIncarnation;
      receive(from, ack);
    }
    Pings.clear();
  }

  void sendAll() {
    for (const Effect &effect : Effects.items()) {
      const auto *it = std::get_if<SendPeer>(&effect);
      if (!it)
        continue;
      if (const auto *ping = std::get_if<MemberPing>(&it->Body))
        Pings.emplace_back(it->To, ping->Sequence);
      Plain.clear();
      encode(it->Body, Plain);
      Sealed.clear();
      Local.seal(Plain, Sealed);
      count();
    }
    Effects.clear();
  }

  MembershipKind Kind;
  bool WithUpdates;
  std::vector<VmSpec> Specs;
  CatalogIndex Zones;
  Membership Part;
  EffectBuffer Effects;
  Instant Now{seconds(1000)};
  PeerSealer Remote{PeerMac{}};
  PeerOpener Opener{PeerMac{}};
  PeerSealer Local{PeerMac{}};
  std::vector<uint8_t> Plain;
  std::vector<uint8_t> Sealed;
  std::vector<std::pair<VmHandle, uint64_t>> Pings;
  uint64_t Sequence = 0;
  double Bytes = 0;
  double Messages = 0;
  double CpuShare = 0;
  double Seconds = 1;
};

struct Cost {
  double Bytes = 0;
  double Core = 0;
};

Cost measureCost(const std::string &name, const StrategyRow &row, size_t peers,
                 bool withUpdates) {
  constexpr Duration CostTime = seconds(120);
  DaemonLoad daemon(row.Kind, peers, withUpdates);
  daemon.run(CostTime);
  std::string at = name + std::to_string(peers) + ".";
  print(at + "bytes", daemon.bytesPerSecond(), "B/s");
  print(at + "messages", daemon.messagesPerSecond(), "1/s");
  print(at + "core", daemon.corePercent(), "%");
  return {daemon.bytesPerSecond(), daemon.corePercent()};
}

void measureCosts(const StrategyRow &row, bool withUpdates) {
  constexpr std::array<size_t, 4> Sizes = {8, 40, 150, 500};
  std::string name =
      std::string(row.Name) + (withUpdates ? ".changing." : ".quiet.");
  std::array<Cost, Sizes.size()> costs;
  for (size_t n = 0; n < Sizes.size(); ++n)
    costs[n] = measureCost(name, row, Sizes[n], withUpdates);
  double span = static_cast<double>(Sizes.back() - Sizes.front());
  print(name + "slope.bytes", (costs.back().Bytes - costs.front().Bytes) / span,
        "B/s/peer");
  print(name + "slope.core", (costs.back().Core - costs.front().Core) / span,
        "%/peer");
}

} // namespace

} // namespace guavasail

int main() {
  using namespace guavasail;
  if (sodium_init() < 0)
    return 1;
  for (const StrategyRow &row : Strategies) {
    measureDetection(row);
    for (const FaultRow &fault : Faults)
      measureFalsePositives(row, fault);
    measureCosts(row, false);
    if (row.Kind == MembershipKind::Probing)
      measureCosts(row, true);
  }
  return 0;
}
