#include "egretturn/Core/Replica.h"

#include "egretturn/Journal/Codec.h"
#include "egretturn/Support/EnumTable.h"

#include <cassert>

namespace egretturn {

static constexpr size_t kMaxHistoryEntries = 100;
static constexpr size_t kMaxHistoryObjects = 20; // object names per history entry

Replica::Replica(std::string aZone)
  : m_jobs(std::move(aZone))
{
}

Offset
Replica::AppliedOffset(Stream aStream) const
{
  if (aStream != Stream::Zone) {
    return Next(aStream);
  }
  if (m_pendingZoneState) {
    return 0;
  }
  return m_pendingZoneBatches.empty() ? Next(aStream) : m_pendingZoneBatches.front().m_offset;
}

bool
Replica::CanExport(Stream aStream) const
{
  return !HasGap(aStream) && AppliedOffset(aStream) == Next(aStream);
}

std::vector<AppliedEntry>
Replica::Feed(Stream aStream, const LogChunk& aChunk)
{
  std::vector<AppliedEntry> out;
  std::vector<LoggedBatch> batches = ReaderOf(aStream).Feed(aChunk);
  RestoreSnapshot(aStream);
  // After a snapshot is restored, the reader returns the records that follow it.
  std::vector<LoggedBatch> more = ReaderOf(aStream).Feed(LogChunk{ {}, 0, Next(aStream) });
  batches.insert(
    batches.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  for (LoggedBatch& batch : batches) {
    if (aStream == Stream::Zone) {
      m_pendingZoneBatches.push_back(std::move(batch));
    } else {
      ApplyBatch(aStream, batch, out);
    }
  }
  ApplyPendingZone(out);
  return out;
}

void
Replica::RestoreSnapshot(Stream aStream)
{
  const std::optional<StreamReader::Snapshot> snapshot = ReaderOf(aStream).TakeSnapshot();
  StreamState state;
  if (snapshot && UnpackCompact(snapshot->m_bytes, state)) {
    Restore(state);
  }
}

void
Replica::ApplyPendingZone(std::vector<AppliedEntry>& aOut)
{
  if (m_pendingZoneState && m_pendingZoneState->m_intakeApplied <= AppliedOffset(Stream::Intake)) {
    m_racks.Restore(m_pendingZoneState->m_racks);
    m_jobs.RestoreTasks(m_pendingZoneState->m_rackNames, m_pendingZoneState->m_tasks);
    m_pendingZoneState.reset();
  }
  while (!m_pendingZoneBatches.empty() && !m_pendingZoneState &&
         m_pendingZoneBatches.front().m_batch.m_intakeApplied <= AppliedOffset(Stream::Intake)) {
    const LoggedBatch batch = std::move(m_pendingZoneBatches.front());
    m_pendingZoneBatches.pop_front();
    ApplyBatch(Stream::Zone, batch, aOut);
  }
}

void
Replica::ApplyBatch(Stream aStream, const LoggedBatch& aBatch, std::vector<AppliedEntry>& aOut)
{
  for (size_t i = 0; i < aBatch.m_batch.m_entries.size(); ++i) {
    AppliedEntry applied;
    applied.m_stream = aStream;
    applied.m_offset = aBatch.m_offset;
    applied.m_writer = aBatch.m_batch.m_writer;
    applied.m_sequence = aBatch.m_batch.m_sequence;
    applied.m_index = i;
    applied.m_entry = aBatch.m_batch.m_entries[i];
    ApplyEntry(applied);
    aOut.push_back(std::move(applied));
  }
}

bool
Replica::WriterOwns(const TaskId& aTask, Epoch aEpoch, const InstanceId& aWriter) const
{
  return m_jobs.FindTask(aTask) && m_racks.Allows(m_jobs.RackOf(aTask), aEpoch, aWriter);
}

void
Replica::ApplyPublish(const ConfigPublish& aPublish, AppliedEntry& aApplied)
{
  aApplied.m_configVersion = m_configVersion;
  if (aPublish.m_base != m_configVersion) {
    aApplied.m_errors.push_back(
      Error{ ErrorKind::Conflict,
             "the base is version " + std::to_string(aPublish.m_base) + " but version " +
               std::to_string(m_configVersion) + " is in force",
             "compare with the version in force, merge and publish again" });
    return;
  }
  Document next = m_document;
  ApplyChanges(next, aPublish.m_changes);
  tl::expected<Model, Errors> model = CheckDocument(next);
  if (!model) {
    aApplied.m_errors = model.error();
    return;
  }
  m_document = std::move(next);
  m_model = std::move(*model);
  aApplied.m_configVersion = ++m_configVersion;
  ConfigHistoryEntry entry{ m_configVersion, aPublish.m_author, {} };
  for (const ObjectChange& change : aPublish.m_changes) {
    if (entry.m_objects.size() < kMaxHistoryObjects) {
      entry.m_objects.push_back(ObjectKey{ change.m_kind, change.m_name }.Text());
    }
  }
  m_history.push_back(std::move(entry));
  if (m_history.size() > kMaxHistoryEntries) {
    m_history.erase(m_history.begin());
  }
  aApplied.m_effective = true;
}

void
Replica::ApplyEntry(AppliedEntry& aApplied)
{
  const InstanceId& writer = aApplied.m_writer;
  aApplied.m_effective = std::visit(
    Overloaded{
      [&](const JobSubmit& aEntry) {
        aApplied.m_submission =
          m_jobs.Apply(MakeJobId(aApplied.m_offset, aApplied.m_index), aEntry);
        return aApplied.m_submission.m_created;
      },
      [&](const KeyIntent& aEntry) {
        aApplied.m_intent = m_keys.Apply(aEntry, writer, aApplied.m_offset);
        return aApplied.m_intent == IntentVerdict::Granted;
      },
      [&](const KeyOutcome& aEntry) { return m_keys.Apply(aEntry, writer); },
      [&](const ConfigPublish& aEntry) {
        ApplyPublish(aEntry, aApplied);
        return aApplied.m_effective;
      },
      [&](const RackClaim& aEntry) { return m_racks.Apply(aEntry, writer, aApplied.m_offset); },
      [&](const RackRelease& aEntry) { return m_racks.Apply(aEntry, writer); },
      [&](const TaskStart& aEntry) {
        return WriterOwns(aEntry.m_task, aEntry.m_epoch, writer) && m_jobs.Apply(aEntry);
      },
      [&](const TaskEnd& aEntry) {
        return WriterOwns(aEntry.m_task, aEntry.m_epoch, writer) && m_jobs.Apply(aEntry);
      },
      [&](const TaskMove& aEntry) {
        return WriterOwns(aEntry.m_task, aEntry.m_epoch, writer) && m_jobs.Apply(aEntry);
      },
      [&](const JobCancel& aEntry) { return m_jobs.Apply(aEntry); },
      [&](const JobFail& aEntry) { return m_jobs.Apply(aEntry); },
      [&](const SnapshotPart&) { return true; },
    },
    aApplied.m_entry);
}

StreamState
Replica::Export(Stream aStream) const
{
  assert(CanExport(aStream) && "Export() requires that everything read was applied");
  StreamState state;
  state.m_stream = aStream;
  state.m_covers = AppliedOffset(aStream);
  state.m_intakeApplied = AppliedOffset(Stream::Intake);
  state.m_writerPositions = ReaderOf(aStream).WriterPositions();
  switch (aStream) {
    case Stream::Config:
      state.m_configVersion = m_configVersion;
      state.m_objects = Difference(Document{}, m_document);
      state.m_history = m_history;
      break;
    case Stream::Intake:
      state.m_specs = m_jobs.Specs();
      state.m_keys = m_keys.All();
      break;
    case Stream::Zone:
      for (const std::pair<const std::string, RackOwner>& rackEntry : m_racks.All()) {
        const RackOwner& rack = rackEntry.second;
        state.m_racks.push_back(rack);
      }
      state.m_rackNames = m_jobs.RackNames();
      state.m_tasks = m_jobs.Tasks();
      break;
  }
  return state;
}

bool
Replica::Restore(const StreamState& aState)
{
  StreamReader& reader = ReaderOf(aState.m_stream);
  if (!reader.CanRestore(aState.m_covers)) {
    return false;
  }
  switch (aState.m_stream) {
    case Stream::Config: {
      if (aState.m_configVersion < m_configVersion) {
        return false;
      }
      Document document;
      ApplyChanges(document, aState.m_objects);
      tl::expected<Model, Errors> model = CheckDocument(document);
      if (!model) {
        return false;
      }
      m_document = std::move(document);
      m_model = std::move(*model);
      m_configVersion = aState.m_configVersion;
      m_history = aState.m_history;
      break;
    }
    case Stream::Intake:
      m_jobs.RestoreSpecs(aState.m_specs);
      m_keys.Restore(aState.m_keys);
      break;
    case Stream::Zone:
      m_pendingZoneBatches.clear();
      m_pendingZoneState = aState;
      break;
  }
  reader.Restore(aState.m_covers, aState.m_writerPositions);
  if (aState.m_stream == Stream::Zone) {
    std::vector<AppliedEntry> none;
    ApplyPendingZone(none);
  }
  return true;
}

} // namespace egretturn
