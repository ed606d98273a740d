/// \file
/// The part of a daemon that talks to the store about the configuration: it
/// confirms the head, waits for a new one and reads chunks.
#ifndef GUAVASAIL_SRC_CONFIG_WATCH_H
#define GUAVASAIL_SRC_CONFIG_WATCH_H

#include "config_keeper.h"
#include "config_step.h"

#include <array>
#include <cstdint>

namespace guavasail {

/// Times of the store's users.
struct StoreTimes {
  /// Between two confirmations of the head.
  Duration Confirm = std::chrono::milliseconds(1000);
  /// Between a failed attempt and the next one.
  Duration Retry = std::chrono::milliseconds(250);
  /// After this a confirmation or read counts as lost.
  Duration Reply = std::chrono::milliseconds(1000);
  /// How long the store holds a watch.
  Duration Watch = std::chrono::seconds(15);
};

/// Reads the store while this VM is a watcher.
class ConfigWatch {
public:
  ConfigWatch(ConfigKeeper &keeper, Freshness &marks, const StoreTimes &times)
      : Keeper(keeper), Marks(marks), Times(times) {}

  /// Starts and stops the confirmations and the watch.
  void setActive(bool active);
  [[nodiscard]] bool active() const { return Active; }

  /// Sends what is due.
  void onTick(const ConfigStep &step);

  /// Takes a reply. Replies to forgotten requests are ignored.
  void onReply(const StoreReplied &reply, const ConfigStep &step);

  /// Allows reading the chunks of \p version, whose head came from the store.
  void allowRead(uint64_t version) { ReadVersion = version; }
  [[nodiscard]] uint64_t readVersion() const { return ReadVersion; }

  /// \returns when `onTick` is wanted next.
  [[nodiscard]] Instant nextDue() const;

  /// \returns true if the newest completed attempt got a reply.
  [[nodiscard]] bool reached() const { return Reached; }
  /// \returns true if the last confirmation of an active part failed.
  [[nodiscard]] bool storeLost() const { return Active && Failed; }

private:
  struct Pending {
    uint32_t Number = 0;
    Instant Sent;
    Instant Deadline = NeverInstant;
    uint32_t Slot = 0;

    [[nodiscard]] bool open() const { return Deadline != NeverInstant; }
    [[nodiscard]] bool is(StoreTicket ticket) const {
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
  void onHead(const StoreReplied &reply, const ConfigStep &step);
  void onChunk(Pending &read, const StoreReplied &reply,
               const ConfigStep &step);
  void noteFailure(Instant sent, const ConfigStep &step);

  ConfigKeeper &Keeper;
  Freshness &Marks;
  StoreTimes Times;
  bool Active = false;
  bool Reached = false;
  bool Failed = false;
  /// Revision that a confirmation met and whose head is being read, and when
  /// the confirmation was sent.
  uint64_t ConflictRevision = 0;
  Instant ConflictAt{};
  uint32_t LastNumber = 0;
  Pending Confirming;
  Pending Watching;
  Pending HeadRead;
  std::array<Pending, ChunkReads> Reads;
  Instant NextConfirm = Instant::min();
  Instant RetryRead = NeverInstant;
  Instant NextWatch = Instant::min();
  /// The newest head seen in the store.
  uint64_t SeenRevision = 0;
  uint64_t SeenVersion = 0;
  /// The newest version whose chunks may be read from the store.
  uint64_t ReadVersion = 0;
  bool HeadAbsent = false;
  /// The head that a store without one is given.
  StoreValue Seed;
  /// What a write that cannot take effect carries.
  StoreValue Nothing;
};

} // namespace guavasail

#endif
