#include "peer_link.h"

#include <gtest/gtest.h>
#include <sodium.h>

namespace guavasail {

namespace {

using Bytes = std::vector<uint8_t>;

/// One end of a link whose wire is a string.
class End : public PeerLinkOwner {
public:
  End(PeerLinkRole role, PeerKeyRing keys, PeerLinkFactory &factory,
      std::string peer)
      : Keys(std::move(keys)),
        Link({role, role == PeerLinkRole::Client ? "client" : "server",
              std::move(peer), Keys},
             factory, *this) {}

  void onWire(PeerLink &, std::string_view bytes) override {
    Wire.append(bytes);
  }
  bool knowsPeer(std::string_view name) override {
    return Known && name == "client";
  }
  void onReady(PeerLink &) override { Ready = true; }
  void onFrame(PeerLink &, std::span<const uint8_t> payload) override {
    Frames.emplace_back(payload.begin(), payload.end());
  }
  void onFailed(PeerLink &, PeerLinkFault fault) override { Fault = fault; }

  PeerKeyRing Keys;
  std::string Wire;
  std::vector<Bytes> Frames;
  std::optional<PeerLinkFault> Fault;
  bool Ready = false;
  bool Known = true;
  PeerLink Link;
};

class Pair {
public:
  Pair(PeerKeyRing clientKeys, PeerKeyRing serverKeys,
       std::string target = "server")
      : Client(PeerLinkRole::Client, std::move(clientKeys), Factory,
               std::move(target)),
        Server(PeerLinkRole::Server, std::move(serverKeys), Factory, "") {}

  void start() {
    Server.Link.start();
    Client.Link.start();
    exchange();
  }

  /// Carries bytes until both sides are silent.
  void exchange() {
    while (!Client.Wire.empty() || !Server.Wire.empty()) {
      std::string toServer = std::exchange(Client.Wire, {});
      std::string toClient = std::exchange(Server.Wire, {});
      Server.Link.receive(toServer);
      Client.Link.receive(toClient);
    }
  }

  PeerLinkFactory Factory{1 << 17};
  End Client;
  End Server;
};

PeerKeyRing ring(std::initializer_list<std::string_view> secrets) {
  PeerKeyRing keys;
  for (std::string_view secret : secrets)
    keys.push_back(makePeerKey(secret));
  return keys;
}

TEST(PeerLink, CarriesFramesBothWays) {
  Pair pair(ring({"s"}), ring({"s"}));
  pair.start();
  ASSERT_TRUE(pair.Client.Link.ready() && pair.Server.Link.ready());
  EXPECT_EQ(pair.Server.Link.peerName(), "client");
  Bytes large(100000, 7);
  EXPECT_TRUE(pair.Client.Link.send(large));
  EXPECT_TRUE(pair.Client.Link.send(Bytes{1}));
  EXPECT_TRUE(pair.Server.Link.send(Bytes{2, 3}));
  pair.exchange();
  EXPECT_EQ(pair.Server.Frames, (std::vector<Bytes>{large, {1}}));
  EXPECT_EQ(pair.Client.Frames, (std::vector<Bytes>{{2, 3}}));
}

struct KeyCase {
  std::string_view Name;
  std::initializer_list<std::string_view> Client;
  std::initializer_list<std::string_view> Server;
  std::string_view Target;
  bool Known;
  /// What the server reports; nothing if the link comes up.
  std::optional<PeerLinkFault> Fault;
};

const KeyCase KeyCases[] = {
    {"Same", {"a"}, {"a"}, "server", true, std::nullopt},
    {"NewClientDuringChange",
     {"b", "a"},
     {"a", "b"},
     "server",
     true,
     std::nullopt},
    {"OldClientDuringChange", {"a"}, {"b", "a"}, "server", true, std::nullopt},
    {"OldClientAfterChange",
     {"a"},
     {"b"},
     "server",
     true,
     PeerLinkFault::KeyWrong},
    {"OtherTarget", {"a"}, {"a"}, "other", true, PeerLinkFault::TargetWrong},
    {"UnknownPeer", {"a"}, {"a"}, "server", false, PeerLinkFault::PeerUnknown},
};

std::ostream &operator<<(std::ostream &out, const KeyCase &row) {
  return out << row.Name;
}

class PeerLinkKeys : public testing::TestWithParam<KeyCase> {};

TEST_P(PeerLinkKeys, DecideWhetherTheLinkComesUp) {
  const KeyCase &row = GetParam();
  Pair pair(ring(row.Client), ring(row.Server), std::string(row.Target));
  pair.Server.Known = row.Known;
  pair.start();
  EXPECT_EQ(pair.Server.Fault, row.Fault);
  EXPECT_EQ(pair.Server.Ready, !row.Fault);
  EXPECT_EQ(pair.Client.Ready, !row.Fault);
}

INSTANTIATE_TEST_SUITE_P(Table, PeerLinkKeys, testing::ValuesIn(KeyCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(PeerLink, ServerWithoutTheSecretIsRefusedByTheClient) {
  Pair pair(ring({"a"}), ring({"a"}));
  // The server proves itself with a key that the client does not use.
  PeerTranscript transcript;
  PeerMac proof = provePeer(makePeerKey("b"), PeerProof::Welcome, transcript);
  auto keys = ring({"a"});
  EXPECT_FALSE(findPeerKey(keys, PeerProof::Welcome, transcript, proof));
  PeerMac hello = provePeer(keys.front(), PeerProof::Hello, transcript);
  EXPECT_FALSE(findPeerKey(keys, PeerProof::Welcome, transcript, hello));
}

TEST(PeerLink, GarbageEndsTheSession) {
  Pair pair(ring({"a"}), ring({"a"}));
  pair.Server.Link.start();
  pair.Server.Link.receive("\x16\x03\x01 not a handshake\r\n\r\n");
  EXPECT_TRUE(pair.Server.Fault.has_value());
}

/// Changes to a sealed frame.
struct FrameCase {
  std::string_view Name;
  void (*Change)(Bytes &frame);
};

const FrameCase FrameCases[] = {
    {"Payload", [](Bytes &frame) { frame.back() ^= 1; }},
    {"Mac", [](Bytes &frame) { frame[8] ^= 1; }},
    {"Counter", [](Bytes &frame) { frame[7] ^= 1; }},
    {"Longer", [](Bytes &frame) { frame.push_back(0); }},
    {"Shorter", [](Bytes &frame) { frame.pop_back(); }},
    {"Empty", [](Bytes &frame) { frame.clear(); }},
};

std::ostream &operator<<(std::ostream &out, const FrameCase &row) {
  return out << row.Name;
}

class SealedFrame : public testing::TestWithParam<FrameCase> {};

TEST_P(SealedFrame, IsRefusedWhenChanged) {
  PeerMac key{};
  PeerSealer sealer(key);
  PeerOpener opener(key);
  Bytes frame;
  sealer.seal(Bytes{1, 2, 3}, frame);
  Bytes changed = frame;
  GetParam().Change(changed);
  EXPECT_FALSE(opener.open(changed));
  EXPECT_TRUE(opener.open(frame));
  EXPECT_FALSE(opener.open(frame)) << "repeated";
}

INSTANTIATE_TEST_SUITE_P(Table, SealedFrame, testing::ValuesIn(FrameCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(PeerBatch, ComesApartAsItWasPutTogether) {
  Bytes batch;
  const std::vector<Bytes> messages = {{1}, {}, Bytes(70000, 9)};
  for (const Bytes &message : messages)
    appendToBatch(message, batch);
  std::span<const uint8_t> rest = batch;
  for (const Bytes &message : messages) {
    auto taken = takeFromBatch(rest);
    ASSERT_TRUE(taken);
    EXPECT_EQ(Bytes(taken->begin(), taken->end()), message);
  }
  EXPECT_TRUE(rest.empty());
  Bytes cut = {0, 0, 0, 9, 1};
  rest = cut;
  EXPECT_FALSE(takeFromBatch(rest));
}

} // namespace

} // namespace guavasail
