// State built by applying the three streams of the log in order: configuration, idempotency keys,
// jobs and ownership.
#pragma once

#include "egretturn/Config/Document.h"
#include "egretturn/Jobs/JobTable.h"
#include "egretturn/Journal/Reader.h"
#include "egretturn/Membership/Ownership.h"
#include "egretturn/Routing/KeyTable.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace egretturn {

/// An entry of the log and the result of applying it.
struct AppliedEntry
{
  Stream m_stream = Stream::Config;
  Offset m_offset = 0;
  InstanceId m_writer;
  uint64_t m_sequence = 0;
  size_t m_index = 0; ///< Position in its batch.
  Entry m_entry;
  bool m_effective = false;                        ///< Whether the entry took effect.
  IntentVerdict m_intent = IntentVerdict::Pending; ///< Set for KeyIntent.
  SubmissionResult m_submission;                   ///< Set for JobSubmit.
  uint64_t m_configVersion = 0; ///< Set for ConfigPublish: the version in force afterwards.
  Errors m_errors;              ///< Set for a refused ConfigPublish: the reasons.
};

/// One accepted configuration version in the history.
struct ConfigHistoryEntry
{
  uint64_t m_version = 0;
  std::string m_author;
  std::vector<std::string> m_objects; ///< Names of the objects that it changed or deleted.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("version", aSelf.m_version);
    aVisit("author", aSelf.m_author);
    aVisit("objects", aSelf.m_objects);
  }
};

/// State of one stream, for snapshots and for transfer to peers. Only the fields of that stream are
/// set.
struct StreamState
{
  Stream m_stream = Stream::Config;
  Offset m_covers = 0;
  Offset m_intakeApplied = 0;
  std::vector<WriterPosition> m_writerPositions;
  uint64_t m_configVersion = 0;
  std::vector<ObjectChange> m_objects;
  std::vector<ConfigHistoryEntry> m_history;
  std::vector<JobTable::JobSpecEntry> m_specs;
  std::vector<KeyState> m_keys;
  std::vector<RackOwner> m_racks;
  std::vector<std::string> m_rackNames;
  std::vector<JobTable::JobTasksEntry> m_tasks;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("stream", aSelf.m_stream);
    aVisit("covers", aSelf.m_covers);
    aVisit("intake_seen", aSelf.m_intakeApplied);
    aVisit("marks", aSelf.m_writerPositions);
    aVisit("config_version", aSelf.m_configVersion);
    aVisit("objects", aSelf.m_objects);
    aVisit("specs", aSelf.m_specs);
    aVisit("keys", aSelf.m_keys);
    aVisit("racks", aSelf.m_racks);
    aVisit("rack_names", aSelf.m_rackNames);
    aVisit("tasks", aSelf.m_tasks);
    aVisit("history", aSelf.m_history);
  }
};

/// State built from the log. It is deterministic: equal records produce equal state.
/// Not thread-safe.
class Replica
{
public:
  explicit Replica(std::string aZone);

  /// Applies the records of one read. Entries of the zone stream are held back until the intake
  /// stream has been applied as far as their writer had applied it.
  std::vector<AppliedEntry> Feed(Stream aStream, const LogChunk& aChunk);

  /// Returns the offset of the next read.
  Offset Next(Stream aStream) const { return ReaderOf(aStream).Next(); }

  /// Returns the offset up to which entries have been applied.
  Offset AppliedOffset(Stream aStream) const;

  /// Returns whether records of the stream were missed that no snapshot covers yet.
  bool HasGap(Stream aStream) const { return ReaderOf(aStream).HasGap(); }

  /// Returns the offset that the newest snapshot in the stream covers.
  Offset SnapshotCovers(Stream aStream) const { return ReaderOf(aStream).SnapshotCovers(); }

  /// Returns whether everything read from \p aStream has been applied.
  bool CanExport(Stream aStream) const;

  /// Returns the current state of \p aStream. \pre CanExport(\p aStream).
  StreamState Export(Stream aStream) const;

  /// Restores a state that covers more than has been applied. Returns false and changes nothing if
  /// it covers less, or if it ends before the oldest record that the log retains.
  bool Restore(const StreamState& aState);

  // The state after the last applied entry.
  uint64_t ConfigVersion() const { return m_configVersion; }
  const std::vector<ConfigHistoryEntry>& History() const { return m_history; }
  const Document& Objects() const { return m_document; }
  const Model& Config() const { return m_model; }
  const JobTable& Jobs() const { return m_jobs; }
  const KeyTable& Keys() const { return m_keys; }
  const OwnershipTable& Racks() const { return m_racks; }

private:
  StreamReader& ReaderOf(Stream aStream) { return m_readers[static_cast<size_t>(aStream)]; }
  const StreamReader& ReaderOf(Stream aStream) const
  {
    return m_readers[static_cast<size_t>(aStream)];
  }
  void ApplyBatch(Stream aStream, const LoggedBatch& aBatch, std::vector<AppliedEntry>& aOut);
  void ApplyPendingZone(std::vector<AppliedEntry>& aOut);
  void ApplyEntry(AppliedEntry& aApplied);
  void ApplyPublish(const ConfigPublish& aPublish, AppliedEntry& aApplied);
  void RestoreSnapshot(Stream aStream);
  bool WriterOwns(const TaskId& aTask, Epoch aEpoch, const InstanceId& aWriter) const;

  std::array<StreamReader, kStreamCount> m_readers;
  std::deque<LoggedBatch> m_pendingZoneBatches;
  std::optional<StreamState> m_pendingZoneState;
  uint64_t m_configVersion = 0;
  Document m_document;
  Model m_model;
  std::vector<ConfigHistoryEntry> m_history; ///< Newest last.
  JobTable m_jobs;
  KeyTable m_keys;
  OwnershipTable m_racks;
};

} // namespace egretturn
