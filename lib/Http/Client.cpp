#include "egretturn/Http/Http.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace egretturn {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr size_t kIdlePerAddress = 64; // a worker takes no more connections than that

/// Idle connections by address. Begins of calls and answers are numbered in their common order.
struct HttpClient::Pool
{
  struct Idle
  {
    std::unique_ptr<beast::tcp_stream> m_stream;
    uint64_t m_answered; ///< Number of its last answer.
  };

  /// Closes the idle connections to \p aAddress that were last answered before \p aNumber.
  void DropBefore(const std::string& aAddress, uint64_t aNumber)
  {
    std::vector<Idle>& idle = m_idle[aAddress];
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [&](const Idle& aIdle) { return aIdle.m_answered < aNumber; }),
               idle.end());
  }

  std::unordered_map<std::string, std::vector<Idle>> m_idle;
  uint64_t m_lastNumber = 0;
};

/// Whether the other side still holds an idle connection open and silent.
static bool
IsUsable(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  aSocket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

/// One call on one connection. Keeps itself alive through its pending operations.
class HttpClient::Call
  : public ClientCall
  , public std::enable_shared_from_this<Call>
{
public:
  Call(boost::asio::io_context& aIo,
       std::shared_ptr<Pool> aPool,
       std::string aAddress,
       HttpRequest aRequest,
       size_t aAnswerBytes,
       ClientCallback aCallback)
    : m_stream(std::make_unique<beast::tcp_stream>(aIo))
    , m_pool(std::move(aPool))
    , m_address(std::move(aAddress))
    , m_request(std::move(aRequest))
    , m_callback(std::move(aCallback))
  {
    m_parser.body_limit(aAnswerBytes);
  }

  void Begin(Duration aTimeout)
  {
    m_timeout = aTimeout;
    m_begun = ++m_pool->m_lastNumber;
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
                        [self = shared_from_this()] { self->End(ClientResult::NotSent); });
      return;
    }
    m_stream->expires_after(m_timeout);
    m_stream->async_connect(*endpoint, [self = shared_from_this()](beast::error_code aError) {
      if (aError) {
        self->End(ClientResult::NotSent);
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
          self->End(aError == beast::error::timeout ? ClientResult::TimedOut
                                                    : ClientResult::Broken);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    http::async_read(
      *m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code aError, size_t) {
        if (aError) {
          self->End(aError == beast::error::timeout ? ClientResult::TimedOut
                                                    : ClientResult::Broken);
          return;
        }
        // Without a length, a broken connection looks like the end of the answer.
        self->End(self->m_parser.need_eof() ? ClientResult::Broken : ClientResult::Completed);
      });
  }

  void End(ClientResult aResult)
  {
    ClientResponse answer{ aResult, {} };
    if (aResult == ClientResult::Completed) {
      answer.m_response = m_parser.release();
      std::vector<Pool::Idle>& idle = m_pool->m_idle[m_address];
      if (answer.m_response.keep_alive() && m_buffer.size() == 0 && idle.size() < kIdlePerAddress) {
        m_stream->expires_never();
        idle.push_back({ std::move(m_stream), ++m_pool->m_lastNumber });
        m_stream = nullptr;
      }
    } else {
      m_stream->close();
    }
    if (aResult == ClientResult::TimedOut) {
      // Connections go silent together and without a reset. Those answered since have shown that
      // they work.
      m_pool->DropBefore(m_address, m_begun);
    }
    if (m_callback) {
      const ClientCallback callback = std::move(m_callback);
      m_callback = nullptr;
      callback(std::move(answer));
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
  uint64_t m_begun = 0;
};

HttpClient::HttpClient(boost::asio::io_context& aIo, size_t aAnswerBytes)
  : m_io(aIo)
  , m_answerBytes(aAnswerBytes)
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
    m_io, m_pool, aAddress, std::move(aRequest), m_answerBytes, std::move(aCallback));
  call->Begin(aTimeout);
  return call;
}

} // namespace egretturn
