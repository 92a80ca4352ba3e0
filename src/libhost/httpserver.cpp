#include "httpserver.h"

#include "httpconnection.h"
#include "logging.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace persimmon {

namespace {

/// Precision of the time limits of connections.
constexpr milliseconds CheckInterval{250};
/// Pause after accepting has failed, for want of a file descriptor for example.
constexpr milliseconds AcceptRetryInterval{100};
/// The limits of a server that does not share the memory of requests with other
/// ports.
constexpr RequestMemory::Limits NoLimits{
    std::numeric_limits<std::size_t>::max(),
    std::numeric_limits<std::size_t>::max()};

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
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

std::size_t HttpHandler::maxBodyBytes() const {
  return std::numeric_limits<std::size_t>::max();
}

HttpResponse HttpHandler::makeRefusal(const HttpRequest &,
                                      const Failure &Error) {
  HttpResponse Out;
  Out.Status = httpStatusOf(Error.Code);
  Out.Body = describe(Error) + "\n";
  return Out;
}

class HttpServer::Impl : public HttpConnectionOwner {
public:
  Impl(asio::io_context &Context, HttpHandler &TheHandler,
       const HttpServerLimits &TheLimits)
      : Handler(TheHandler), Limits(TheLimits), Acceptor(Context),
        AcceptTimer(Context), CheckTimer(Context) {
    if (!this->Limits.Memory)
      this->Limits.Memory = RequestMemory::make(NoLimits);
  }

  ~Impl() override {
    std::error_code Ignored;
    this->Acceptor.close(Ignored);
    for (const HttpConnectionPtr &Connection : this->Connections)
      Connection->abandon();
  }

  leaf::result<void> listen(const Endpoint &Listen) {
    using asio::ip::tcp;
    std::error_code Error;
    const auto Check = [&](const std::error_code &Result) {
      if (!Error)
        Error = Result;
    };
    std::error_code Result;
    const tcp::endpoint Local(asio::ip::make_address(Listen.Ip, Result),
                              Listen.Port);
    Check(Result);
    if (!Error)
      Check(this->Acceptor.open(Local.protocol(), Result));
    if (!Error)
      Check(this->Acceptor.set_option(tcp::acceptor::reuse_address(true),
                                      Result));
    // Accepted sockets take over the size, which bounds what the kernel keeps
    // of their unread bytes.
    if (!Error && this->Limits.Requests.ReceiveBufferBytes > 0)
      Check(this->Acceptor.set_option(
          asio::socket_base::receive_buffer_size(
              this->Limits.Requests.ReceiveBufferBytes),
          Result));
    if (!Error)
      Check(this->Acceptor.bind(Local, Result));
    if (!Error)
      Check(this->Acceptor.listen(asio::socket_base::max_listen_connections,
                                  Result));
    if (Error)
      return fail(ResultCode::PortInUse, Listen.toString(), Error.message());
    this->Address = Listen.toString();
    this->accept();
    return {};
  }

  void respond(std::int64_t Id, HttpResponse Response) {
    const HttpConnectionPtr Connection = this->takeRequest(Id);
    if (Connection)
      Connection->respond(Id, std::move(Response));
  }

  void sendTruncatedResponse(std::int64_t Id) {
    const HttpConnectionPtr Connection = this->takeRequest(Id);
    if (Connection)
      Connection->respondTruncated(Id);
  }

  std::size_t pendingResponses() const {
    return this->OpenRequests.size() + this->Unwritten;
  }

private:
  const HttpServerLimits &limits() const override { return this->Limits; }
  std::size_t maxBodyBytes() const override {
    return std::min(this->Limits.MaxBodyBytes, this->Handler.maxBodyBytes());
  }
  std::array<char, ReadBytes> &readBuffer() override { return this->Buffer; }

  void onRequest(HttpConnection &From, HttpRequest Request) override {
    this->OpenRequests.emplace(Request.Id, From.shared_from_this());
    const std::int64_t Id = Request.Id;
    try {
      this->Handler.onRequest(std::move(Request));
    } catch (const std::exception &Error) {
      this->refuseFailed(Id, Error);
    }
  }

  HttpResponse makeRefusal(const HttpRequest &Request,
                           const Failure &Error) override {
    return this->Handler.makeRefusal(Request, Error);
  }

  std::int64_t nextId() override { return ++this->LastId; }
  void onResponseQueued() override { ++this->Unwritten; }
  void onResponsesGone(std::size_t Count) override { this->Unwritten -= Count; }

  void onEnded(RequestEnd End, const std::string &Client,
               std::size_t Bytes) override {
    const auto LeftOut =
        this->Limits.Memory->count(End, std::chrono::steady_clock::now());
    if (LeftOut)
      logWarning("event=request-refused port=" + this->Address +
                 " reason=" + std::string(nameOf(End)) + " client=" + Client +
                 " bytes=" + std::to_string(Bytes) +
                 " leftOut=" + std::to_string(*LeftOut));
  }

  void onClosed(HttpConnection &Connection,
                const std::vector<std::int64_t> &OpenIds) override {
    const HttpConnectionPtr Kept = Connection.shared_from_this();
    this->Connections.erase(Kept);
    for (const std::int64_t Id : OpenIds) {
      if (this->OpenRequests.erase(Id) != 0)
        this->Handler.onRequestAborted(Id);
    }
    this->accept();
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

  HttpConnectionPtr takeRequest(std::int64_t Id) {
    const auto Found = this->OpenRequests.find(Id);
    if (Found == this->OpenRequests.end())
      return nullptr;
    HttpConnectionPtr Out = std::move(Found->second);
    this->OpenRequests.erase(Found);
    return Out;
  }

  bool full() const {
    return this->Connections.size() >= this->Limits.MaxConnections;
  }

  void accept() {
    if (this->Accepting || this->full() || !this->Acceptor.is_open())
      return;
    this->Accepting = true;
    this->Acceptor.async_accept(
        [this, Alive = std::weak_ptr(this->Alive)](
            std::error_code Error, asio::ip::tcp::socket Socket) {
          if (Alive.expired())
            return;
          this->Accepting = false;
          if (Error)
            return this->acceptLater();
          this->addConnection(std::move(Socket));
          this->accept();
        });
  }

  void acceptLater() {
    this->AcceptTimer.expires_after(AcceptRetryInterval);
    this->AcceptTimer.async_wait(
        [this, Alive = std::weak_ptr(this->Alive)](std::error_code Error) {
          if (!Error && !Alive.expired())
            this->accept();
        });
  }

  void addConnection(asio::ip::tcp::socket Socket) {
    const auto Connection =
        std::make_shared<HttpConnection>(std::move(Socket), *this);
    this->Connections.insert(Connection);
    if (this->Connections.size() == 1)
      this->checkLater();
    Connection->start();
  }

  void checkLater() {
    this->CheckTimer.expires_after(CheckInterval);
    this->CheckTimer.async_wait(
        [this, Alive = std::weak_ptr(this->Alive)](std::error_code Error) {
          if (Error || Alive.expired() || this->Connections.empty())
            return;
          this->checkTimes();
          this->checkLater();
        });
  }

  void checkTimes() {
    const Time Now = std::chrono::steady_clock::now();
    const bool Full = this->full();
    // Closing a connection removes it from the set.
    const std::vector<HttpConnectionPtr> Checked(this->Connections.begin(),
                                                 this->Connections.end());
    for (const HttpConnectionPtr &Connection : Checked)
      Connection->checkTimes(Now, Full);
  }

  HttpHandler &Handler;
  HttpServerLimits Limits;
  std::string Address;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  asio::steady_timer CheckTimer;
  bool Accepting = false;
  std::set<HttpConnectionPtr> Connections;
  std::map<std::int64_t, HttpConnectionPtr> OpenRequests;
  std::int64_t LastId = 0;
  /// Responses that have not been written.
  std::size_t Unwritten = 0;
  /// Filled and emptied within one call, so all connections share it.
  std::array<char, ReadBytes> Buffer{};
  /// Ends before the operations of the ports and timers are called back.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(std::unique_ptr<Impl> NewImplementation)
    : Implementation(std::move(NewImplementation)) {}

HttpServer::~HttpServer() = default;

leaf::result<std::unique_ptr<HttpServer>>
HttpServer::open(asio::io_context &Io, const Endpoint &Listen,
                 HttpHandler &Handler, const HttpServerLimits &Limits) {
  auto NewImplementation = std::make_unique<Impl>(Io, Handler, Limits);
  BOOST_LEAF_CHECK(NewImplementation->listen(Listen));
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
