/// \file
/// Simulates configuration parts with lossy links and an in-memory store in
/// virtual time.
#ifndef GUAVASAIL_TESTS_CONFIG_FLEET_H
#define GUAVASAIL_TESTS_CONFIG_FLEET_H

#include "catalog_read.h"
#include "config_part.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavasail {

/// Faults injected into the store.
struct StoreFaults {
  bool Unreachable = false;
  /// Delay of each reply.
  Duration Delay = std::chrono::milliseconds(2);
  /// Writes take effect but get no reply.
  bool LosesReplies = false;
  /// Reads return old revisions.
  bool ReturnsStaleReads = false;
  /// The store answers, but holds no configuration that can be read.
  bool HoldsNothing = false;
};

/// The store: compare-and-swap, reads, watches.
class FakeStore {
public:
  struct Entry {
    uint64_t Revision = 0;
    std::shared_ptr<StoreValue> Value;
  };

  StoreReplied read(const StoreRead &request);
  StoreReplied write(const StoreWrite &request);

  /// Increases the revision without a change to any key that is read.
  void touch() { ++Revisions; }
  [[nodiscard]] uint64_t revision() const { return Revisions; }

  /// \returns the newest entry of the head, empty if there is none.
  Entry head() const;
  /// \returns an audit record, null if there is none.
  const AuditRecord *audit(uint64_t version, const std::string &id) const;

  StoreFaults Faults;
  uint64_t Calls = 0;

private:
  static std::string nameOf(const StoreKey &key);

  uint64_t Revisions = 0;
  std::map<std::string, std::vector<Entry>> Entries;
};

/// A store whose instances others write, read in pages that are no snapshot.
class PagedStore {
public:
  /// Writes an instance with so many slots.
  void put(const std::string &instance, uint32_t slots);
  void drop(const std::string &instance);
  /// Another writer changes a key that is no part of the catalog.
  void touch();

  [[nodiscard]] uint64_t revision() const { return History.size() - 1; }
  /// \returns the items that follow \p after.
  [[nodiscard]] platform::KvPage page(std::string_view after) const;
  [[nodiscard]] platform::KvChanges changes(uint64_t after) const;
  /// \returns the catalog as it was at a revision.
  [[nodiscard]] ChunkTable at(uint64_t revision) const;
  /// \returns the catalog that a read collected.
  static ChunkTable collect(const platform::CatalogRead &read);

private:
  using Content = std::map<std::string, uint32_t>;

  void note(Content content, platform::KvChange change);
  static ChunkTable split(const Content &content);

  /// The content at each revision, and what changed it.
  std::vector<Content> History{1};
  std::vector<platform::KvChange> Changes{1};
};

/// Parameters of a fleet.
struct FleetInit {
  uint32_t Vms = 6;
  uint32_t Zones = 3;
  uint64_t Seed = 1;
  /// Parameters of the configuration parts.
  ConfigInit Part;
  /// A version is the store's revision at which a VM first read its content,
  /// so that VMs name the same content differently.
  bool VersionsNameContent = false;
  /// The same with a store that is read in pages.
  bool Paged = false;
  /// Lost messages between daemons, in percent.
  uint32_t LossPercent = 0;
  Duration InZone = std::chrono::microseconds(300);
  Duration CrossZone = std::chrono::milliseconds(4);
  /// Time of silence after which a VM is suspected by the others.
  Duration SuspectAfter = std::chrono::seconds(2);
};

/// The course of a change.
struct ChangeTrace {
  ChangeOutcome Outcome;
  Instant Proposed;
  Instant Concluded;
};

/// Runs the fleet and checks its invariants after every event.
class ConfigFleet {
public:
  explicit ConfigFleet(const FleetInit &init);

  /// Advances virtual time.
  void run(Duration time);

  /// Proposes a change on a VM.
  void propose(uint32_t vm, const Change &change);

  /// Writes \p catalog to the store, like an operator tool outside the fleet.
  /// \returns its version.
  uint64_t writeCatalog(const CatalogSpec &catalog);

  /// Another writer changes a key that is no part of the catalog.
  void touchStore() { Store.touch(); }

  /// Cuts or restores the link from one VM to another.
  void cut(uint32_t from, uint32_t to, bool down);
  /// Cuts or restores all links between a group and the rest, both ways.
  void split(const std::set<uint32_t> &group, bool down);
  /// Cuts or restores the link from a VM to the store.
  void cutStore(uint32_t vm, bool down);
  /// Pauses or resumes a VM. Its events are delayed meanwhile.
  void pause(uint32_t vm, bool paused);
  /// Restarts a VM with empty state.
  void restart(uint32_t vm);
  /// Removes all faults.
  void heal();

  [[nodiscard]] bool admits(uint32_t vm) const;
  [[nodiscard]] FreshState freshState(uint32_t vm) const;
  [[nodiscard]] uint64_t version(uint32_t vm) const;
  [[nodiscard]] bool holdsKey(uint32_t vm, const Digest &key) const;
  /// \returns the instances of a service that \p vm knows to leave.
  [[nodiscard]] std::vector<std::string>
  leavingInstances(uint32_t vm, std::string_view service) const;
  /// \returns the store's revision at which \p vm last read the catalog.
  [[nodiscard]] uint64_t readRevision(uint32_t vm) const {
    return Nodes[vm].ReadRevision;
  }
  [[nodiscard]] NotReadyReason notReadyReason(uint32_t vm) const;
  [[nodiscard]] uint32_t vms() const {
    return static_cast<uint32_t>(Nodes.size());
  }
  [[nodiscard]] uint32_t watchers() const;
  [[nodiscard]] bool watches(uint32_t vm) const;
  /// \returns the watchers of \p zone in the view of \p vm.
  [[nodiscard]] std::vector<uint32_t> watchersOf(uint32_t zone,
                                                 uint32_t vm) const;
  [[nodiscard]] uint32_t zoneOf(uint32_t vm) const { return vm % Init.Zones; }
  [[nodiscard]] Instant now() const { return Now; }
  [[nodiscard]] const std::map<std::string, ChangeTrace> &changes() const {
    return Changes;
  }
  /// Violated invariants.
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return Violations;
  }
  /// \returns the change ids of the audit trail, oldest first.
  [[nodiscard]] std::vector<std::string> auditTrail() const;

  /// \returns the digests of the content in force.
  [[nodiscard]] std::span<const Digest> content(uint32_t vm) const {
    return Nodes[vm].Part->keeper().head().Chunks;
  }

  FakeStore Store;
  PagedStore Pages;
  uint64_t Messages = 0;

private:
  /// A read of the catalog that takes the store's delay. It shows the content
  /// of the moment at which it began. Requests meanwhile join it.
  struct SlowRead {
    std::vector<StoreTicket> Tickets;
    Instant BeganAt;
    Instant EndsAt = Instant::min();
    /// What is read; empty if there is nothing.
    ConfigHead Head;
    uint64_t Revision = 0;
    /// Revision of the head that is read, and of the one read last.
    uint64_t HeadRevision = 0;
    uint64_t KnownRevision = 0;
  };
  /// A read of the paged store.
  struct PagedRead {
    std::vector<StoreTicket> Tickets;
    platform::CatalogRead Read{"~"};
    bool Snapshot = false;
    Instant AskedAt;
    uint64_t SnapshotRevision = 0;
    /// What was read last.
    ChunkTable Table;
  };
  struct Node {
    std::unique_ptr<ConfigPart> Part;
    CatalogIndex Index;
    ZoneHandle Zone;
    std::vector<VmEntry> Members;
    uint32_t Incarnation = 0;
    uint64_t SeenVersion = 0;
    bool Paused = false;
    bool StoreCut = false;
    Instant MembersDue;
    /// The catalog that this VM read last, and the revision of that read.
    ConfigHead Read;
    uint64_t ReadRevision = 0;
    SlowRead Reading;
    PagedRead Pages;
  };
  struct Delivery {
    Instant At;
    uint64_t Order = 0;
    uint32_t Vm = 0;
    uint32_t Incarnation = 0;
    uint32_t From = 0;
    bool FromStore = false;
    /// What the VM does then instead of handling a message.
    std::function<void()> Run;
    PeerBody Body;
    StoreReplied Reply;
    std::shared_ptr<StoreValue> Value;

    friend bool operator<(const Delivery &left, const Delivery &right) {
      return std::tie(right.At, right.Order) < std::tie(left.At, left.Order);
    }
  };
  struct Watch {
    uint32_t Vm;
    uint32_t Incarnation;
    StoreTicket Ticket;
    uint64_t After;
    Instant Until;
  };

  void start(uint32_t vm);
  ConfigContext context(Node &node);
  void deliver(const Delivery &delivery);
  void tick(uint32_t vm);
  void flush(uint32_t vm);
  void execute(uint32_t vm, const Effect &effect);
  void on(uint32_t vm, const SendPeer &effect);
  void on(uint32_t vm, const SendPeers &effect);
  void on(uint32_t vm, const StoreRead &effect);
  void on(uint32_t vm, const StoreWrite &effect);
  void on(uint32_t vm, const StoreWatch &effect);
  void on(uint32_t vm, const ChangeConcluded &effect);
  void readCatalog(uint32_t vm, const StoreWrite &request);
  void endRead(Node &node);
  void checkConfig(uint32_t vm);
  void planCheck(uint32_t vm);
  void schedule(uint32_t vm, Duration delay, std::function<void()> run);
  void readPages(uint32_t vm, const StoreWrite &request);
  void askPaged(uint32_t vm);
  void takePaged(uint32_t vm);
  void endPaged(uint32_t vm);
  StoreReplied readChunk(const Node &node, const StoreRead &request);
  StoreReplied readHead(const Node &node, const StoreRead &request);
  template <typename Other> void on(uint32_t, const Other &) {}
  void reply(uint32_t vm, const StoreReplied &reply, Duration delay);
  void fireWatches();
  void updateMembers(uint32_t vm);
  void check(uint32_t vm);
  [[nodiscard]] bool storeReached(uint32_t vm) const;

  FleetInit Init;
  std::mt19937_64 Random;
  Instant Now{std::chrono::seconds(1000)};
  std::vector<Node> Nodes;
  std::set<std::pair<uint32_t, uint32_t>> Cuts;
  std::map<std::pair<uint32_t, uint32_t>, Instant> LastHeard;
  std::priority_queue<Delivery> Queue;
  std::vector<Watch> Watches;
  StoreValue ReadValue;
  uint64_t LastOrder = 0;
  EffectBuffer Effects;
  std::map<std::string, ChangeTrace> Changes;
  std::map<uint64_t, Instant> AcceptedAt;
  std::vector<std::string> Violations;
};

/// \returns the digests of all slots.
std::vector<Digest> chunkDigests(const ChunkTable &table);

/// \returns a change with one command.
Change changeOf(std::string id, Command command);

} // namespace guavasail

#endif
