#include "egretturn/Journal/Codec.h"
#include "egretturn/Journal/Reader.h"
#include "egretturn/Journal/Writer.h"

#include <catch2/catch.hpp>

using namespace egretturn;

static const InstanceId kWriter{ "a", 7 };

static LogRecord
RecordOf(Offset aOffset, uint64_t aSequence, Entry aEntry)
{
  Batch batch;
  batch.m_writer = kWriter;
  batch.m_sequence = aSequence;
  batch.m_entries.push_back(std::move(aEntry));
  return LogRecord{ aOffset, EncodeBatch(batch) };
}

TEST_CASE("a decoded batch equals the encoded one", "[journal]")
{
  Batch batch;
  batch.m_writer = kWriter;
  batch.m_sequence = 3;
  batch.m_entries = { TaskStart{ TaskId{ 5, 6 }, 2, 0xdeadbeef, 9 },
                      KeyOutcome{ "k", KeyResult::Done, 200, std::string("\x00\xff", 2) } };
  const Expected<Batch> decoded = DecodeBatch(EncodeBatch(batch));
  REQUIRE(decoded);
  CHECK(EncodeBatch(*decoded) == EncodeBatch(batch));
  CHECK(std::get<KeyOutcome>(decoded->m_entries[1]).m_body.size() == 2);
}

TEST_CASE("decoding invalid bytes or a newer schema returns a typed error", "[journal]")
{
  CHECK(DecodeBatch("rubbish").error().m_kind == ErrorKind::Corrupt);
  Batch newer;
  newer.m_schema = kBatchSchema + 1;
  CHECK(DecodeBatch(EncodeBatch(newer)).error().m_remedy == "upgrade this instance");
}

TEST_CASE("a reader drops duplicates and skips corrupt records", "[journal]")
{
  StreamReader reader;
  LogChunk chunk;
  chunk.m_records = { RecordOf(0, 1, RackClaim{ "r", 1 }),
                      RecordOf(1, 1, RackClaim{ "r", 1 }),
                      LogRecord{ 2, "rubbish" },
                      RecordOf(3, 2, RackClaim{ "r", 2 }) };
  chunk.m_next = 4;
  CHECK(reader.Feed(chunk).size() == 2);
  CHECK(reader.CorruptRecords() == 1);
  CHECK(reader.Next() == 4);
}

TEST_CASE("a reader with a gap waits for a snapshot that reaches the oldest kept record",
          "[journal]")
{
  StreamReader reader;
  LogChunk chunk;
  chunk.m_oldest = 10;
  chunk.m_next = 13;
  chunk.m_records = { RecordOf(10, 5, SnapshotPart{ 8, 0, 1, "old" }),
                      RecordOf(11, 6, SnapshotPart{ 10, 0, 1, "state" }),
                      RecordOf(12, 7, RackClaim{ "r", 1 }) };
  CHECK(reader.Feed(chunk).empty());
  CHECK(reader.HasGap());
  const std::optional<StreamReader::Snapshot> snapshot = reader.TakeSnapshot();
  REQUIRE(snapshot);
  CHECK(snapshot->m_bytes == "state");
  reader.Restore(snapshot->m_covers, {});
  CHECK_FALSE(reader.HasGap());
  CHECK(reader.Feed(LogChunk{ {}, 10, 13 }).size() == 3);
}

TEST_CASE("a writer resends the same bytes until they are appended", "[journal]")
{
  JournalWriter writer(kWriter, std::chrono::milliseconds(100));
  writer.SetRate(1000);
  const std::optional<EntryToken> token = writer.Append(Stream::Zone, RackClaim{ "r", 1 });
  Instant now{ std::chrono::seconds(1) };
  const std::vector<AppendCall> first = writer.Poll(now, 0);
  REQUIRE(first.size() == 1);
  writer.Append(Stream::Zone, RackClaim{ "s", 1 });
  CHECK(writer.Poll(now, 0).empty()); // one in flight
  now += std::chrono::milliseconds(150);
  const std::vector<AppendCall> retry = writer.Poll(now, 0);
  REQUIRE(retry.size() == 1);
  CHECK(retry[0].m_bytes == first[0].m_bytes);
  writer.OnAppended(Stream::Zone, retry[0].m_sequence);
  CHECK(writer.TakeToken(Stream::Zone, 1, 0) == *token);
  CHECK(writer.Poll(now, 0).at(0).m_sequence == 2);
}

TEST_CASE("appends stay within the configured rate", "[journal]")
{
  JournalWriter writer(kWriter, std::chrono::seconds(10));
  writer.SetRate(5);
  size_t appends = 0;
  for (int tick = 0; tick < 500; ++tick) { // 10 s
    writer.Append(Stream::Zone, RackClaim{ "r", 1 });
    for (const AppendCall& call :
         writer.Poll(Instant{ std::chrono::milliseconds(1000 + 20 * tick) }, 0)) {
      writer.OnAppended(call.m_stream, call.m_sequence);
      ++appends;
    }
  }
  CHECK(appends <= 55);
  CHECK(appends >= 45);
}
