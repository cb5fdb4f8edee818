#include "egretturn/Http/Http.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <boost/optional.hpp>

namespace egretturn {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr size_t kMaxIdlePerAddress = 64; // a worker accepts no more connections

// Size of one read of a body. Each read waits for its turn in the event loop.
static constexpr uint64_t kMaxReadBytes = 64 * 1024;
static constexpr uint64_t kReadBytesOfUnknownLength = 4 * 1024;

// Bounds a header, a trailer and the extension of a chunk, besides the read that found its end.
static constexpr size_t kMaxBufferBytes = 2 * kMaxReadBytes;

/// Idle connections by address. One sequence numbers both the starts of calls and the responses, so
/// that they can be ordered.
struct HttpClient::Pool
{
  struct Idle
  {
    std::unique_ptr<beast::tcp_stream> m_stream;
    uint64_t m_sequence; ///< Of its last response.
  };

  /// Closes the idle connections to \p aAddress whose last response came before \p aSequence.
  void CloseIdleBefore(const std::string& aAddress, uint64_t aSequence)
  {
    std::vector<Idle>& idle = m_idle[aAddress];
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [&](const Idle& aIdle) { return aIdle.m_sequence < aSequence; }),
               idle.end());
  }

  std::unordered_map<std::string, std::vector<Idle>> m_idle;
  uint64_t m_lastSequence = 0;
};

/// Returns whether an idle connection is still open and has no unread data.
static bool
IsUsable(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  aSocket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

/// One call on one connection. Its pending operations hold shared ownership of it.
class HttpClient::Call
  : public ClientCall
  , public std::enable_shared_from_this<Call>
{
public:
  Call(boost::asio::io_context& aIo,
       std::shared_ptr<Pool> aPool,
       std::string aAddress,
       HttpRequest aRequest,
       size_t aMaxResponseBytes,
       ClientCallback aCallback)
    : m_stream(std::make_unique<beast::tcp_stream>(aIo))
    , m_pool(std::move(aPool))
    , m_address(std::move(aAddress))
    , m_request(std::move(aRequest))
    , m_callback(std::move(aCallback))
  {
    m_parser.body_limit(aMaxResponseBytes);
    m_buffer.max_size(kMaxBufferBytes);
  }

  void Start(Duration aTimeout)
  {
    m_timeout = aTimeout;
    m_startSequence = ++m_pool->m_lastSequence;
    std::vector<Pool::Idle>& idle = m_pool->m_idle[m_address];
    while (!idle.empty()) {
      std::unique_ptr<beast::tcp_stream> stream = std::move(idle.back().m_stream);
      idle.pop_back();
      if (IsUsable(stream->socket())) {
        m_stream = std::move(stream);
        Write();
        return;
      }
    }
    Connect();
  }

  void Cancel() override
  {
    m_callback = nullptr;
    if (m_stream) {
      m_stream->close();
    }
  }

private:
  void Connect()
  {
    const Expected<boost::asio::ip::tcp::endpoint> endpoint = ParseEndpoint(m_address);
    if (!endpoint) {
      boost::asio::post(m_stream->get_executor(),
                        [self = shared_from_this()] { self->Finish(ClientResult::NotSent); });
      return;
    }
    m_stream->expires_after(m_timeout);
    m_stream->async_connect(*endpoint, [self = shared_from_this()](beast::error_code aError) {
      if (aError) {
        self->Finish(ClientResult::NotSent);
        return;
      }
      boost::system::error_code ignored;
      self->m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void Write()
  {
    m_stream->expires_after(m_timeout);
    http::async_write(
      *m_stream, m_request, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->Finish(aError == beast::error::timeout ? ClientResult::TimedOut
                                                       : ClientResult::Broken);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    http::async_read_header(
      *m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->Finish(aError == beast::error::timeout ? ClientResult::TimedOut
                                                       : ClientResult::Broken);
          return;
        }
        self->ReadBody();
      });
  }

  void ReadBody()
  {
    const boost::optional<uint64_t> remaining = m_parser.content_length_remaining();
    if (!m_parser.is_done() && remaining && *remaining <= m_buffer.size()) {
      // The whole body came with the header; another read would wait for a turn of its own.
      beast::error_code error;
      m_parser.eager(true);
      m_buffer.consume(m_parser.put(m_buffer.data(), error));
      if (error) {
        Finish(ClientResult::Broken);
        return;
      }
    }
    if (m_parser.is_done()) {
      Finish(ClientResult::Completed);
      return;
    }
    // A read fills at most the capacity of the buffer, which is 512 bytes unless it is reserved.
    // Reserved only now, since most calls in flight wait for their response.
    m_buffer.reserve(std::min(remaining.value_or(kReadBytesOfUnknownLength), kMaxReadBytes));
    http::async_read(
      *m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->Finish(aError == beast::error::timeout ? ClientResult::TimedOut
                                                       : ClientResult::Broken);
          return;
        }
        // Without a Content-Length, a broken connection looks like the end of the response.
        self->Finish(self->m_parser.need_eof() ? ClientResult::Broken : ClientResult::Completed);
      });
  }

  void Finish(ClientResult aResult)
  {
    ClientResponse response{ aResult, {} };
    if (aResult == ClientResult::Completed) {
      response.m_response = m_parser.release();
      std::vector<Pool::Idle>& idle = m_pool->m_idle[m_address];
      if (response.m_response.keep_alive() && m_buffer.size() == 0 &&
          idle.size() < kMaxIdlePerAddress) {
        m_stream->expires_never();
        idle.push_back({ std::move(m_stream), ++m_pool->m_lastSequence });
        m_stream = nullptr;
      }
    } else {
      m_stream->close();
    }
    if (aResult == ClientResult::TimedOut) {
      // Connections to an address go silent together, without a reset. Those that have received a
      // response since this call started are known to work.
      m_pool->CloseIdleBefore(m_address, m_startSequence);
    }
    if (m_callback) {
      const ClientCallback callback = std::move(m_callback);
      m_callback = nullptr;
      callback(std::move(response));
    }
  }

  std::unique_ptr<beast::tcp_stream> m_stream;
  std::shared_ptr<Pool> m_pool;
  std::string m_address;
  HttpRequest m_request;
  http::response_parser<http::string_body> m_parser;
  beast::flat_buffer m_buffer;
  ClientCallback m_callback;
  Duration m_timeout{};
  uint64_t m_startSequence = 0;
};

HttpClient::HttpClient(boost::asio::io_context& aIo, size_t aMaxResponseBytes)
  : m_io(aIo)
  , m_maxResponseBytes(aMaxResponseBytes)
  , m_pool(std::make_shared<Pool>())
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<ClientCall>
HttpClient::Send(const std::string& aAddress,
                 HttpRequest aRequest,
                 Duration aTimeout,
                 ClientCallback aCallback)
{
  const std::shared_ptr<Call> call = std::make_shared<Call>(
    m_io, m_pool, aAddress, std::move(aRequest), m_maxResponseBytes, std::move(aCallback));
  call->Start(aTimeout);
  return call;
}

} // namespace egretturn
