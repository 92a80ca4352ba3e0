#include "httpserver.h"

#include "logging.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <map>

namespace persimmon {

namespace {

constexpr std::size_t MaxUrlBytes = 16u << 10;
constexpr std::size_t MaxFieldNameBytes = 1u << 10;
constexpr std::size_t MaxFieldValueBytes = 64u << 10;
constexpr std::size_t MaxFields = 200;
constexpr std::size_t MaxBodyBytes = 34u << 20;
constexpr std::size_t MaxPipelinedRequests = 4;
constexpr std::chrono::seconds ReadTimeout{120};
constexpr std::chrono::seconds HandleTimeout{660};
constexpr std::chrono::seconds WriteTimeout{60};

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// Receives notifications of closed connections.
class ConnectionCloseListener {
public:
  virtual ~ConnectionCloseListener() = default;
  virtual void onConnectionClosed(std::uint64_t ConnectionId) = 0;
};

class ConnectionStateListener {
public:
  explicit ConnectionStateListener(ConnectionCloseListener &TheListener)
      : Listener(TheListener) {}

  void state_changed(const restinio::connection_state::notice_t &Notice) {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            Notice.cause()))
      this->Listener.onConnectionClosed(Notice.connection_id());
  }

private:
  ConnectionCloseListener &Listener;
};

using RequestHandler = std::function<restinio::request_handling_status_t(
    restinio::request_handle_t)>;

struct Traits
    : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                              restinio::null_logger_t,
                                              RequestHandler> {
  using connection_state_listener_t = ConnectionStateListener;
  // RESTinio never accepts again once accepting has failed for want of a file
  // descriptor.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<Traits>;

std::string methodName(const restinio::http_request_header_t &Header) {
  return std::string(Header.method().c_str());
}

} // namespace

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

std::string toLowerCase(std::string_view Text) {
  std::string Out(Text);
  std::transform(Out.begin(), Out.end(), Out.begin(), toLower);
  return Out;
}

std::string_view HttpRequest::header(std::string_view Name) const {
  const auto Found = std::find_if(
      this->Headers.begin(), this->Headers.end(),
      [&](const wire::Header &H) { return sameHeaderName(H.Name, Name); });
  return Found == this->Headers.end() ? std::string_view()
                                      : std::string_view(Found->Value);
}

class HttpServer::Impl : public ConnectionCloseListener {
public:
  explicit Impl(HttpHandler &TheHandler) : Handler(TheHandler) {}

  ~Impl() override {
    this->OpenRequests.clear();
    if (this->Server)
      this->Server->close_async([] {}, [](const std::exception_ptr &) {});
  }

  leaf::result<void> listen(asio::io_context &Io, const Endpoint &Listen,
                            std::size_t MaxConnections) {
    auto Limits = restinio::incoming_http_msg_limits_t{}
                      .max_url_size(MaxUrlBytes)
                      .max_field_name_size(MaxFieldNameBytes)
                      .max_field_value_size(MaxFieldValueBytes)
                      .max_field_count(MaxFields)
                      .max_body_size(MaxBodyBytes);
    this->Server = std::make_unique<RestinioServer>(
        restinio::external_io_context(Io), [&](auto &Settings) {
          Settings.address(Listen.Ip)
              .port(Listen.Port)
              .incoming_http_msg_limits(Limits)
              .max_pipelined_requests(MaxPipelinedRequests)
              .max_parallel_connections(MaxConnections)
              .read_next_http_message_timelimit(ReadTimeout)
              .handle_request_timeout(HandleTimeout)
              .write_http_response_timelimit(WriteTimeout)
              .connection_state_listener(
                  std::make_shared<ConnectionStateListener>(*this))
              .socket_options_setter([](auto &Options) {
                Options.set_option(asio::ip::tcp::no_delay(true));
              })
              .request_handler([this](restinio::request_handle_t Request) {
                return this->acceptRequest(std::move(Request));
              });
        });
    bool Opened = false;
    std::string ErrorText;
    this->Server->open_async([&] { Opened = true; },
                             [&](const std::exception_ptr &Error) {
                               Opened = true;
                               ErrorText = exceptionText(Error);
                             });
    while (!Opened)
      Io.run_one();
    if (!ErrorText.empty())
      return fail(ResultCode::PortInUse, Listen.toString(), ErrorText);
    return {};
  }

  void respond(std::int64_t Id, HttpResponse Response) {
    const auto Found = this->OpenRequests.find(Id);
    if (Found == this->OpenRequests.end())
      return;
    const restinio::request_handle_t Request = std::move(Found->second);
    this->removeRequest(Found);
    auto ResponseBuilder =
        Request->create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(
                static_cast<std::uint16_t>(Response.Status)),
            ""));
    for (wire::Header &Item : Response.Headers)
      ResponseBuilder.header().add_field(std::move(Item.Name),
                                         std::move(Item.Value));
    if (Response.CloseConnection)
      ResponseBuilder.connection_close();
    ResponseBuilder.set_body(std::move(Response.Body));
    ++*this->UnwrittenResponses;
    ResponseBuilder.done(
        [Count = this->UnwrittenResponses](const auto &) { --*Count; });
  }

  void sendTruncatedResponse(std::int64_t Id) {
    const auto Found = this->OpenRequests.find(Id);
    if (Found == this->OpenRequests.end())
      return;
    const restinio::request_handle_t Request = std::move(Found->second);
    this->removeRequest(Found);
    constexpr std::size_t DeclaredBytes = 100;
    auto ResponseBuilder =
        Request->create_response<restinio::user_controlled_output_t>();
    ResponseBuilder.set_content_length(DeclaredBytes);
    ResponseBuilder.connection_close();
    ResponseBuilder.append_body("short");
    ResponseBuilder.done();
  }

  std::size_t pendingResponses() const {
    return this->OpenRequests.size() + *this->UnwrittenResponses;
  }

private:
  using RequestMap = std::map<std::int64_t, restinio::request_handle_t>;

  static std::string exceptionText(const std::exception_ptr &Error) {
    try {
      std::rethrow_exception(Error);
    } catch (const std::exception &Exception) {
      return Exception.what();
    }
  }

  restinio::request_handling_status_t
  acceptRequest(restinio::request_handle_t Request) {
    HttpRequest Out;
    Out.Id = ++this->LastId;
    Out.Method = methodName(Request->header());
    Out.Url = std::string(Request->header().request_target());
    for (const auto &Field : Request->header()) {
      wire::Header Item;
      Item.Name = Field.name();
      Item.Value = Field.value();
      Out.Headers.push_back(std::move(Item));
    }
    Out.Body = Request->body();
    this->RequestsByConnection.emplace(Request->connection_id(), Out.Id);
    this->OpenRequests.emplace(Out.Id, std::move(Request));
    const std::int64_t Id = Out.Id;
    try {
      this->Handler.onRequest(std::move(Out));
    } catch (const std::exception &Error) {
      this->refuseFailed(Id, Error);
    }
    return restinio::request_accepted();
  }

  /// Answers a request whose handler failed. Other requests are not affected.
  void refuseFailed(std::int64_t Id, const std::exception &Error) {
    const Failure Reason{ResultCode::InternalError, "request", Error.what()};
    logError("event=request-failed " + describe(Reason));
    HttpResponse Response;
    Response.Status = httpStatusOf(Reason.Code);
    Response.Body = describe(Reason) + "\n";
    this->respond(Id, std::move(Response));
    this->Handler.onRequestAborted(Id);
  }

  void removeRequest(RequestMap::iterator Item) {
    const std::int64_t Id = Item->first;
    std::erase_if(this->RequestsByConnection,
                  [&](const auto &Entry) { return Entry.second == Id; });
    this->OpenRequests.erase(Item);
  }

  void onConnectionClosed(std::uint64_t ConnectionId) override {
    const auto [First, Last] =
        this->RequestsByConnection.equal_range(ConnectionId);
    std::vector<std::int64_t> AbortedIds;
    for (auto Item = First; Item != Last; ++Item)
      AbortedIds.push_back(Item->second);
    this->RequestsByConnection.erase(ConnectionId);
    for (const std::int64_t Id : AbortedIds) {
      this->OpenRequests.erase(Id);
      this->Handler.onRequestAborted(Id);
    }
  }

  HttpHandler &Handler;
  std::unique_ptr<RestinioServer> Server;
  RequestMap OpenRequests;
  std::multimap<std::uint64_t, std::int64_t> RequestsByConnection;
  std::int64_t LastId = 0;
  std::shared_ptr<std::size_t> UnwrittenResponses =
      std::make_shared<std::size_t>(0);
};

HttpServer::HttpServer(std::unique_ptr<Impl> NewImplementation)
    : Implementation(std::move(NewImplementation)) {}

HttpServer::~HttpServer() = default;

leaf::result<std::unique_ptr<HttpServer>>
HttpServer::open(asio::io_context &Io, const Endpoint &Listen,
                 HttpHandler &Handler, std::size_t MaxConnections) {
  auto NewImplementation = std::make_unique<Impl>(Handler);
  BOOST_LEAF_CHECK(NewImplementation->listen(Io, Listen, MaxConnections));
  return std::unique_ptr<HttpServer>(
      new HttpServer(std::move(NewImplementation)));
}

void HttpServer::respond(std::int64_t Id, HttpResponse Response) {
  this->Implementation->respond(Id, std::move(Response));
}

void HttpServer::sendTruncatedResponse(std::int64_t Id) {
  this->Implementation->sendTruncatedResponse(Id);
}

std::size_t HttpServer::pendingResponses() const {
  return this->Implementation->pendingResponses();
}

} // namespace persimmon
