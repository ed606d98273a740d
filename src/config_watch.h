/// \file
/// Reads the configuration from the store: confirms the head, watches for a
/// new one and reads chunks.
#ifndef GUAVASAIL_SRC_CONFIG_WATCH_H
#define GUAVASAIL_SRC_CONFIG_WATCH_H

#include "config_keeper.h"
#include "config_step.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Times of the requests to the store.
struct StoreTimes {
  /// Between two confirmations of the head.
  Duration ConfirmInterval = std::chrono::milliseconds(1000);
  /// Between a failed attempt and the next one.
  Duration RetryInterval = std::chrono::milliseconds(250);
  /// Time after which a confirmation or read counts as lost.
  Duration ReplyTimeout = std::chrono::milliseconds(1000);
  /// A version is the revision at which its content was read, so that readers
  /// name the same content differently.
  bool VersionsNameContent = false;
  /// How long the store keeps a watch open.
  Duration WatchTimeout = std::chrono::seconds(15);
};

/// Reads the store while this VM is a watcher.
class ConfigWatch {
public:
  ConfigWatch(ConfigKeeper &keeper, Freshness &marks, const StoreTimes &times)
      : Keeper(keeper), Marks(marks), Times(times) {}

  /// Starts or stops the confirmations and the watch.
  /// \param markAge age of the newest mark, from this VM or another one, at
  /// which the store is confirmed again; zero to confirm it at each interval.
  void setActive(bool active, Duration markAge = {});
  [[nodiscard]] bool active() const { return Active; }
  /// \returns when the store last answered a part of the confirmation that is
  /// under way, which a store that is not slow answers as a whole;
  /// `Instant::min()` if it did not.
  [[nodiscard]] Instant progressAt() const {
    return Confirming.open() ? ProgressAt : Instant::min();
  }

  /// Sends the requests that are due.
  void onTick(const ConfigStep &step);

  /// Handles a reply. Replies to requests that timed out are ignored.
  void onReply(const StoreReplied &reply, const ConfigStep &step);

  /// Allows reading the chunks of \p version, whose head came from the store.
  void allowRead(uint64_t version) { ReadVersion = version; }
  [[nodiscard]] uint64_t readVersion() const { return ReadVersion; }

  /// \returns when `onTick` is due next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns true if the last completed confirmation succeeded.
  [[nodiscard]] bool reached() const { return Reached; }
  /// \returns true if this VM is a watcher and its last confirmation failed.
  [[nodiscard]] bool storeUnreachable() const {
    return Active && ConfirmFailed;
  }

private:
  struct Pending {
    uint32_t Number = 0;
    Instant Sent;
    Instant Deadline = NeverInstant;
    uint32_t Slot = 0;

    [[nodiscard]] bool open() const { return Deadline != NeverInstant; }
    [[nodiscard]] bool matches(StoreTicket ticket) const {
      return open() && Number == ticket.Number;
    }
    void close() { Deadline = NeverInstant; }
  };
  static constexpr size_t ChunkReads = 4;

  Pending begin(Instant now, Duration wait);
  void confirm(const ConfigStep &step);
  void watch(const ConfigStep &step);
  void readHead(const ConfigStep &step);
  void readChunks(const ConfigStep &step);
  void expire(const ConfigStep &step);
  void onConfirmed(const StoreReplied &reply, const ConfigStep &step);
  void onPartial(const StoreReplied &reply, const ConfigStep &step);
  void confirmSeen(Instant at, const StoreReplied &reply,
                   const ConfigStep &step);
  void matchContent(const StoreReplied &reply, const ConfigStep &step);
  void onHead(const StoreReplied &reply, const ConfigStep &step);
  void onChunk(Pending &read, const StoreReplied &reply,
               const ConfigStep &step);
  void noteFailure(Instant sent, const ConfigStep &step);
  [[nodiscard]] Instant confirmDue() const;

  ConfigKeeper &Keeper;
  Freshness &Marks;
  StoreTimes Times;
  bool Active = false;
  Duration ConfirmMarkAge{};
  bool Reached = false;
  bool ConfirmFailed = false;
  /// Revision that a confirmation returned and whose head is being read, and
  /// when it was the newest one.
  uint64_t ConflictRevision = 0;
  Instant ConflictAt{};
  /// The content needs a name of its own, for which the next read has to be a
  /// snapshot.
  bool NeedsSnapshot = false;
  uint32_t LastNumber = 0;
  Pending Confirming;
  Instant ProgressAt = Instant::min();
  Pending Watching;
  Pending HeadRead;
  std::array<Pending, ChunkReads> Reads;
  Instant NextConfirm = Instant::min();
  Instant RetryRead = NeverInstant;
  Instant NextWatch = Instant::min();
  /// The newest head seen in the store.
  uint64_t SeenRevision = 0;
  /// The version that has its content. Another reader may have named it.
  uint64_t SeenVersion = 0;
  ConfigHead SeenHead;
  /// The newest version whose chunks may be read from the store.
  uint64_t ReadVersion = 0;
  bool HeadAbsent = false;
  /// The head that is written to a store without one.
  StoreValue InitialValue;
  /// The value of a write that cannot take effect.
  StoreValue NoValue;
};

} // namespace guavasail

#endif
