// What the three streams of the log say, applied in order: configuration, keys, jobs and ownership.
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

/// One entry of the log after it was applied, with its verdict.
struct Applied
{
  Stream m_stream = Stream::Config;
  Offset m_offset = 0;
  InstanceId m_writer;
  uint64_t m_sequence = 0;
  size_t m_index = 0; ///< In its batch.
  Entry m_entry;
  bool m_counts = false;                           ///< The entry took effect.
  IntentVerdict m_intent = IntentVerdict::Pending; ///< For KeyIntent.
  SubmissionResult m_submission;                   ///< For JobSubmit.
  uint64_t m_configVersion = 0;                    ///< In force after a ConfigPublish.
  Errors m_errors;                                 ///< Why a ConfigPublish was refused.
};

/// One accepted configuration, for its history.
struct VersionRow
{
  uint64_t m_version = 0;
  std::string m_author;
  std::vector<std::string> m_objects; ///< Names of the objects that it put or deleted.

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("version", aSelf.m_version);
    aVisit("author", aSelf.m_author);
    aVisit("objects", aSelf.m_objects);
  }
};

/// The state of one stream, for snapshots and for peers. Only the stream's own fields are filled.
struct StreamState
{
  Stream m_stream = Stream::Config;
  Offset m_covers = 0;
  Offset m_intakeSeen = 0;
  std::vector<WriterPosition> m_writerPositions;
  uint64_t m_configVersion = 0;
  std::vector<ObjectChange> m_objects;
  std::vector<VersionRow> m_history;
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
    aVisit("intake_seen", aSelf.m_intakeSeen);
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

/// State applied from the log. Deterministic: equal records give equal state. Not thread-safe.
class Replica
{
public:
  explicit Replica(std::string aZone);

  /// Applies what a read returned. Entries of the zone stream wait until the intake stream has been
  /// applied as far as their writer had.
  std::vector<Applied> Feed(Stream aStream, const LogChunk& aChunk);

  /// The offset to read next.
  Offset Next(Stream aStream) const { return ReaderOf(aStream).Next(); }

  /// The offset up to which entries were applied.
  Offset AppliedTo(Stream aStream) const;

  /// Whether records of the stream were missed and nothing covers them yet.
  bool HasGap(Stream aStream) const { return ReaderOf(aStream).HasGap(); }

  /// Offset that the newest snapshot in the stream covers.
  Offset SnapshotCovers(Stream aStream) const { return ReaderOf(aStream).SnapshotCovers(); }

  /// Whether everything that was read of \p aStream is applied.
  bool CanExport(Stream aStream) const;

  /// The state of \p aStream now. \pre CanExport(\p aStream).
  StreamState Export(Stream aStream) const;

  /// Takes a state that covers more than was applied. Returns false, with nothing changed, if it
  /// does not, or does not reach the oldest record kept by the log.
  bool Restore(const StreamState& aState);

  uint64_t ConfigVersion() const { return m_configVersion; }
  const std::vector<VersionRow>& History() const { return m_history; }
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
  void ApplyBatch(Stream aStream, const LoggedBatch& aBatch, std::vector<Applied>& aOut);
  void ApplyHeld(std::vector<Applied>& aOut);
  void ApplyEntry(Applied& aApplied);
  void ApplyPublish(const ConfigPublish& aPublish, Applied& aApplied);
  void TakeSnapshot(Stream aStream);
  bool WriterOwns(const TaskId& aTask, Epoch aEpoch, const InstanceId& aWriter) const;

  std::array<StreamReader, kStreamCount> m_readers;
  std::deque<LoggedBatch> m_heldZone;
  std::optional<StreamState> m_heldZoneState;
  uint64_t m_configVersion = 0;
  Document m_document;
  Model m_model;
  std::vector<VersionRow> m_history; ///< Newest last.
  JobTable m_jobs;
  KeyTable m_keys;
  OwnershipTable m_racks;
};

} // namespace egretturn
