/// \file
/// Texts of the audit trail, and the reader of its records.
#ifndef GUAVASAIL_SRC_AUDIT_H
#define GUAVASAIL_SRC_AUDIT_H

#include "guavasail/catalog.h"
#include "guavasail/effect.h"
#include "guavasail/store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavasail {

/// \returns the fields of an item as text, without its name and without key
/// digests.
std::string describeItem(const ServiceSpec &spec);
std::string describeItem(const InstanceSpec &spec);
std::string describeItem(const RouteSpec &spec);
std::string describeItem(const WorkspaceSpec &spec);

/// Reads audit records, newest first. Each record refers to the preceding one,
/// so records of changes that lost a compare-and-swap are never read.
class AuditReader {
public:
  /// Starts reading.
  /// \param version version of the newest record to read.
  /// \param changeId change that created that version.
  /// \param count largest number of records to read.
  /// \returns false if another read is in progress.
  bool start(uint64_t version, std::string_view changeId, uint32_t count,
             EffectBuffer &effects);

  /// Handles a record and requests the next one.
  void onReply(const StoreReplied &reply, EffectBuffer &effects);

private:
  void readNext(EffectBuffer &effects);
  void finish(bool complete, EffectBuffer &effects);

  std::vector<AuditRecord> Records;
  std::string NextId;
  uint64_t NextVersion = 0;
  uint32_t Remaining = 0;
  uint32_t Attempts = 0;
  uint32_t Number = 0;
  bool Active = false;
};

} // namespace guavasail

#endif
