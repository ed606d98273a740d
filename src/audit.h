/// \file
/// Texts of the audit trail and the walk over its records.
#ifndef GUAVASAIL_SRC_AUDIT_H
#define GUAVASAIL_SRC_AUDIT_H

#include "guavasail/catalog.h"
#include "guavasail/effect.h"
#include "guavasail/store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavasail {

/// \returns the fields of an item as text, without its name and without any
/// digest of a key.
std::string describeItem(const ServiceSpec &spec);
std::string describeItem(const InstanceSpec &spec);
std::string describeItem(const RouteSpec &spec);
std::string describeItem(const WorkspaceSpec &spec);

/// Reads audit records, newest first. Each record names the one before it, so
/// records of changes that lost a race are never met.
class AuditReader {
public:
  /// Starts a walk.
  /// \param version version of the newest record wanted.
  /// \param changeId change that made it.
  /// \param count most records to read.
  /// \returns false if a walk is in progress.
  bool start(uint64_t version, std::string_view changeId, uint32_t count,
             EffectBuffer &effects);

  /// Takes a record and asks for the next one.
  void onReply(const StoreReplied &reply, EffectBuffer &effects);

private:
  void ask(EffectBuffer &effects);
  void finish(bool complete, EffectBuffer &effects);

  std::vector<AuditRecord> Found;
  std::string NextId;
  uint64_t NextVersion = 0;
  uint32_t Left = 0;
  uint32_t Tries = 0;
  uint32_t Number = 0;
  bool Active = false;
};

} // namespace guavasail

#endif
