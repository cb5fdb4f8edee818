// Stand-ins for the platform's store, the operator, the workers and a client, all on loopback
// addresses. They follow the users' pages; every limit of a page is named where it is used.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Reply = std::function<void(unsigned, std::string)>;
using Handler = std::function<void(const Request&, Reply)>;

/// Milliseconds of the steady clock since the program started.
int64_t NowMs();

/// The record of a run: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// Accepts connections on a loopback address and answers requests, one at a time per connection.
class Server
{
public:
  Server(asio::io_context& aIo, const std::string& aIp, Handler aHandler);
  std::string Address() const;

  /// Refuses new connections from now on.
  void Close();

private:
  void Accept();
  tcp::acceptor m_acceptor;
  Handler m_handler;
};

/// Forwards connections to one address, until it is cut; then nothing passes, without a reset.
class Link
{
public:
  Link(asio::io_context& aIo, uint16_t aFrom, uint16_t aTo);
  void SetCut(bool aCut) { m_cut = aCut; }

private:
  void Accept();
  void Pump(std::shared_ptr<tcp::socket> aFrom, std::shared_ptr<tcp::socket> aTo);
  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  uint16_t m_to;
  bool m_cut = false;
};

/// The platform's store: a log with keyed topics of one partition.
class Store
{
public:
  Store(asio::io_context& aIo, Record& aRecord);
  std::string Address() const { return m_server.Address(); }

  /// A second address of the store, for the instances of the other region. While it is cut, calls
  /// there get no answer.
  std::string FarAddress() const { return m_farServer.Address(); }
  void SetFarCut(bool aCut) { m_farCut = aCut; }

  /// Readers at the first address read \p aTo in place of \p aFrom, as behind an address
  /// translation. Both have the same length.
  void Translate(std::string aFrom, std::string aTo);

  /// Writes a record as the operator or a worker does.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);

  /// While the store is down, it answers each call with 503: nothing was done.
  void SetDown(bool aDown);
  bool IsDown() const { return m_down; }

  uint64_t OversizedAppends() const { return m_oversized; }

private:
  struct Item
  {
    std::string m_key;
    std::string m_value;
  };
  struct Topic
  {
    std::vector<Item> m_items;
    std::map<std::string, size_t> m_newest; ///< Offset of the newest record of each key.
  };
  struct Waiter
  {
    std::string m_topic;
    uint64_t m_from;
    Reply m_reply;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  void Handle(const Request& aRequest, Reply aReply, bool aFar);
  std::string Translated(std::string aText) const;
  void Append(const std::map<std::string, std::string>& aQuery,
              const std::string& aBody,
              Reply aReply);
  void Read(const std::map<std::string, std::string>& aQuery, Reply aReply);
  void Newest(const std::map<std::string, std::string>& aQuery, const Reply& aReply, bool aFar);
  std::string Tail(const std::string& aTopic, uint64_t aFrom) const;
  void Add(Topic& aTopic, Item aItem);
  void WakeReaders(const std::string& aTopic);

  asio::io_context& m_io;
  Record& m_record;
  std::map<std::string, Topic> m_topics;
  std::vector<std::shared_ptr<Waiter>> m_waiters;
  bool m_down = false;
  bool m_farCut = false;
  std::vector<std::pair<std::string, std::string>> m_translations;
  uint64_t m_oversized = 0;
  Server m_server;
  Server m_farServer;
};

/// What a task of a job does on a worker.
struct TaskKind
{
  int64_t m_workMs = 1000;
  int64_t m_saveMs = 0; ///< Time between checkpoints; 0 for none.
  size_t m_checkpointBytes = 16;
};

/// The longest lease, `hold_max_ms`.
void SetHoldMaxMs(int64_t aMs);
int64_t HoldMaxMs();

/// One start, as a worker has carried it out.
struct Start
{
  std::string m_task;
  int64_t m_run = 0;
  std::string m_worker;
  int64_t m_at = 0;
  std::string m_spec;
};

/// One end, as a worker lists it.
struct End
{
  std::string m_task;
  int64_t m_run = 0;
  std::string m_worker;
  std::string m_how;
  int64_t m_at = 0;
  int64_t m_listedAt = -1; ///< When it was first listed in an answer.
  int64_t m_notedAt = -1;  ///< When seen_upto reached it; -1 before.
};

/// Everything that the workers have seen.
struct History
{
  std::vector<Start> m_starts;
  std::vector<End> m_ends;
  int64_t m_lapses = 0; ///< Leases that ended while something ran.
  int64_t m_fenced = 0; ///< Calls with a lower fence.
  int64_t m_shed = 0;   ///< Starts that were answered with 503.
};

/// A worker: runs what it is told to, under a lease.
class Worker
{
public:
  Worker(asio::io_context& aIo,
         std::string aId,
         std::string aService,
         std::string aZone,
         std::string aKind,
         std::string aRack,
         History& aHistory,
         std::function<TaskKind(const std::string&)> aKindOf);

  std::string Entry() const;
  const std::string& Id() const { return m_id; }
  size_t Unnoted() const { return m_ended.size(); }
  size_t Running() const { return m_running.size(); }

  /// Crashes for good: runs nothing, answers nothing and refuses connections.
  void Die();
  bool IsDead() const { return m_dead; }

  /// Cuts the worker off from the senders of calls with a fence in this range: no call of theirs
  /// arrives, and none is answered.
  void CutFrom(int64_t aLowestFence, int64_t aHighestFence)
  {
    m_cutLowest = aLowestFence;
    m_cutHighest = aHighestFence;
  }
  int64_t Fence() const { return m_fence; }
  const std::string& Zone() const { return m_zone; }

  /// While it sheds, it answers each start with 503 and does nothing for it.
  void SetShedding(bool aSheds) { m_sheds = aSheds; }

private:
  struct Run
  {
    int64_t m_run = 0;
    int64_t m_startedAt = 0;
    int64_t m_generation = 0;
    TaskKind m_kind;
    std::string m_checkpoint;
    std::shared_ptr<asio::steady_timer> m_timer;
  };
  struct Listed
  {
    uint64_t m_number;
    size_t m_end; ///< Index into the history.
    std::string m_checkpoint;
  };

  void Handle(const Request& aRequest, const Reply& aReply);
  void StartRun(const json::object& aBody, const Reply& aReply);
  void StopRun(const json::object& aBody, const Reply& aReply);
  void Hold(const json::object& aBody, const Reply& aReply);
  void Extend(int64_t aUntilMs);
  void CheckLease();
  void EndRun(std::string aTask, const char* aHow); ///< By value: the key is erased.
  void Finish(const std::string& aTask, int64_t aGeneration);
  void AnswerHold();
  std::string Lists(uint64_t aSeen);
  std::string CheckpointOf(const Run& aRun) const;
  int64_t ClockMs() const { return NowMs() + 100000; }
  std::string ClockBody(const char* aReason = nullptr) const;

  asio::io_context& m_io;
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_kind;
  std::string m_rack;
  History& m_history;
  std::function<TaskKind(const std::string&)> m_kindOf;
  int64_t m_fence = 0;
  int64_t m_until = 0;
  int64_t m_generation = 0;
  uint64_t m_lastNumber = 0;
  mutable uint64_t m_seq = 0;
  int64_t m_born = 0;
  bool m_dead = false;
  bool m_sheds = false;
  int64_t m_cutLowest = 0;
  int64_t m_cutHighest = -1;
  std::map<std::string, Run> m_running;
  std::map<std::string, int64_t> m_highestEnded; ///< Highest run stopped or ended, by task.
  std::deque<Listed> m_ended;
  std::optional<std::pair<Reply, uint64_t>> m_hold;
  std::shared_ptr<asio::steady_timer> m_holdTimer;
  asio::steady_timer m_leaseTimer;
  Server m_server;
};

/// The answer to one request of a client; status 0 if none came.
struct Answer
{
  unsigned m_status = 0;
  std::string m_body;
};

/// Sends one request on a new connection and waits for the answer. For the client's own thread.
Answer Call(const std::string& aAddress,
            http::verb aMethod,
            const std::string& aHost,
            const std::string& aPath,
            const std::string& aBody,
            int64_t aTimeoutMs);

} // namespace standin
