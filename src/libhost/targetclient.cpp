#include "targetclient.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <map>

namespace persimmon {

namespace {

constexpr std::size_t MaxAnswerBytes = 32u << 20;
constexpr long ConnectTimeoutMs = 1000;
constexpr long MaxRequestMs = 600'000;
constexpr std::string_view NotRunHeader = "persimmon-not-run";

/// One request while libcurl works on it.
struct Transfer {
  std::int64_t Number = 0;
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  TargetClient::Done WhenDone;
  TargetAnswer Answer;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(this->HeaderList);
    curl_easy_cleanup(this->Easy);
  }
};

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r\n") - First + 1);
}

std::size_t takeHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto &Answer = static_cast<Transfer *>(User)->Answer;
  const std::string_view Line(Data, Size * Count);
  if (Line.starts_with("HTTP/")) {
    Answer.Headers.clear();
    return Size * Count;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos) {
    wire::Header Item;
    Item.Name = std::string(trimmed(Line.substr(0, Colon)));
    Item.Value = std::string(trimmed(Line.substr(Colon + 1)));
    Answer.Headers.push_back(std::move(Item));
  }
  return Size * Count;
}

std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                     void *User) {
  auto &Body = static_cast<Transfer *>(User)->Answer.Body;
  if (Body.size() + Size * Count > MaxAnswerBytes)
    return 0;
  Body.append(Data, Size * Count);
  return Size * Count;
}

RunEnd endOf(CURLcode Code, const TargetAnswer &Answer) {
  if (Code == CURLE_COULDNT_CONNECT)
    return RunEnd::NotConnected;
  if (Code != CURLE_OK)
    return RunEnd::Broken;
  const bool Shed = std::any_of(
      Answer.Headers.begin(), Answer.Headers.end(), [](const wire::Header &H) {
        return H.Name.size() == NotRunHeader.size() &&
               std::equal(H.Name.begin(), H.Name.end(), NotRunHeader.begin(),
                          [](char A, char B) { return std::tolower(A) == B; });
      });
  constexpr int Unavailable = 503;
  return Shed && Answer.Status == Unavailable ? RunEnd::Shed : RunEnd::Answered;
}

} // namespace

class TargetClient::Impl {
public:
  explicit Impl(asio::io_context &Context) : Io(Context), Timer(Context) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    this->Multi = curl_multi_init();
    curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(this->Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(this->Multi, CURLMOPT_TIMERDATA, this);
  }

  ~Impl() {
    for (auto &[Number, Item] : this->Transfers)
      curl_multi_remove_handle(this->Multi, Item->Easy);
    this->Transfers.clear();
    curl_multi_cleanup(this->Multi);
    for (auto &[Socket, Item] : this->Watches)
      Item->Descriptor.release();
  }

  void setMaxConnections(int Count) {
    curl_multi_setopt(this->Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(Count));
    curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(Count));
  }

  std::int64_t start(const TargetRequest &Request, Done WhenDone) {
    auto Item = std::make_unique<Transfer>();
    Item->Number = ++this->LastNumber;
    Item->WhenDone = std::move(WhenDone);
    Item->Easy = curl_easy_init();
    this->setOptions(*Item, Request);
    const std::int64_t Number = Item->Number;
    CURL *Easy = Item->Easy;
    this->Transfers.emplace(Number, std::move(Item));
    curl_multi_add_handle(this->Multi, Easy);
    return Number;
  }

  void cancel(std::int64_t Number) {
    const auto Found = this->Transfers.find(Number);
    if (Found == this->Transfers.end())
      return;
    const std::shared_ptr<Transfer> Item = std::move(Found->second);
    this->Transfers.erase(Found);
    curl_multi_remove_handle(this->Multi, Item->Easy);
    Item->Answer = TargetAnswer();
    asio::post(this->Io, [Item] { Item->WhenDone(std::move(Item->Answer)); });
  }

private:
  /// A socket of libcurl that the io_context watches.
  struct Watch {
    explicit Watch(asio::io_context &Context, curl_socket_t Socket)
        : Descriptor(Context, Socket) {}
    asio::posix::stream_descriptor Descriptor;
    int Wanted = 0;
    bool Reading = false;
    bool WritingNow = false;
    bool Removed = false;
  };

  void setOptions(Transfer &Item, const TargetRequest &Request) {
    CURL *Easy = Item.Easy;
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Item);
    curl_easy_setopt(Easy, CURLOPT_URL, Request.Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Request.MayRepeat ? 0L : 1L);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &takeHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Item);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &takeBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Item);
    long LimitMs = MaxRequestMs;
    if (Request.Deadline != NoDeadline)
      LimitMs = std::max<long>(
          1, static_cast<long>(millisecondsUntil(
                 Request.Deadline, std::chrono::steady_clock::now())));
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, LimitMs);
    if (Request.Method == "HEAD") {
      curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    } else {
      if (!Request.Body.empty() || Request.Method == "POST" ||
          Request.Method == "PUT" || Request.Method == "PATCH") {
        curl_easy_setopt(Easy, CURLOPT_POST, 1L);
        curl_easy_setopt(Easy, CURLOPT_POSTFIELDS,
                         Request.Body.empty() ? "" : Request.Body.data());
        curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(Request.Body.size()));
      }
      curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
    }
    bool HasContentType = false;
    for (const wire::Header &Field : Request.Headers) {
      HasContentType = HasContentType || Field.Name == "Content-Type";
      const std::string Line = Field.Value.empty()
                                   ? Field.Name + ";"
                                   : Field.Name + ": " + Field.Value;
      Item.HeaderList = curl_slist_append(Item.HeaderList, Line.c_str());
    }
    Item.HeaderList = curl_slist_append(Item.HeaderList, "Expect:");
    if (!HasContentType)
      Item.HeaderList = curl_slist_append(Item.HeaderList, "Content-Type:");
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Item.HeaderList);
  }

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *User,
                      void *) {
    auto &Self = *static_cast<Impl *>(User);
    auto &Slot = Self.Watches[Socket];
    if (What == CURL_POLL_REMOVE) {
      if (Slot) {
        Slot->Removed = true;
        Slot->Descriptor.release();
      }
      Self.Watches.erase(Socket);
      return 0;
    }
    if (!Slot)
      Slot = std::make_shared<Watch>(Self.Io, Socket);
    Slot->Wanted = What;
    Self.watch(Socket, Slot);
    return 0;
  }

  void watch(curl_socket_t Socket, const std::shared_ptr<Watch> &Item) {
    using asio::posix::stream_descriptor;
    if ((Item->Wanted & CURL_POLL_IN) != 0 && !Item->Reading) {
      Item->Reading = true;
      Item->Descriptor.async_wait(stream_descriptor::wait_read,
                                  [this, Socket, Item](std::error_code Error) {
                                    Item->Reading = false;
                                    this->ready(Socket, Item, CURL_CSELECT_IN,
                                                Error);
                                  });
    }
    if ((Item->Wanted & CURL_POLL_OUT) != 0 && !Item->WritingNow) {
      Item->WritingNow = true;
      Item->Descriptor.async_wait(stream_descriptor::wait_write,
                                  [this, Socket, Item](std::error_code Error) {
                                    Item->WritingNow = false;
                                    this->ready(Socket, Item, CURL_CSELECT_OUT,
                                                Error);
                                  });
    }
  }

  void ready(curl_socket_t Socket, const std::shared_ptr<Watch> &Item,
             int Action, std::error_code Error) {
    if (Item->Removed || Error)
      return;
    int StillRunning = 0;
    curl_multi_socket_action(this->Multi, Socket, Action, &StillRunning);
    this->collect();
    if (!Item->Removed)
      this->watch(Socket, Item);
  }

  static int onTimer(CURLM *, long TimeoutMs, void *User) {
    auto &Self = *static_cast<Impl *>(User);
    Self.Timer.cancel();
    if (TimeoutMs < 0)
      return 0;
    Self.Timer.expires_after(milliseconds(TimeoutMs));
    Self.Timer.async_wait([&Self](std::error_code Error) {
      if (Error)
        return;
      int StillRunning = 0;
      curl_multi_socket_action(Self.Multi, CURL_SOCKET_TIMEOUT, 0,
                               &StillRunning);
      Self.collect();
    });
    return 0;
  }

  void collect() {
    int Left = 0;
    while (CURLMsg *Ended = curl_multi_info_read(this->Multi, &Left)) {
      if (Ended->msg != CURLMSG_DONE)
        continue;
      const CURLcode Code = Ended->data.result;
      char *Private = nullptr;
      curl_easy_getinfo(Ended->easy_handle, CURLINFO_PRIVATE, &Private);
      const std::int64_t Number = reinterpret_cast<Transfer *>(Private)->Number;
      const auto Found = this->Transfers.find(Number);
      const std::shared_ptr<Transfer> Item = std::move(Found->second);
      this->Transfers.erase(Found);
      long Status = 0;
      curl_easy_getinfo(Item->Easy, CURLINFO_RESPONSE_CODE, &Status);
      curl_multi_remove_handle(this->Multi, Item->Easy);
      Item->Answer.Status = static_cast<int>(Status);
      Item->Answer.End = endOf(Code, Item->Answer);
      curl_off_t SentAtUs = 0;
      curl_easy_getinfo(Item->Easy, CURLINFO_PRETRANSFER_TIME_T, &SentAtUs);
      if (Code == CURLE_OPERATION_TIMEDOUT && SentAtUs == 0)
        Item->Answer.End = RunEnd::NotConnected;
      asio::post(this->Io, [Item] { Item->WhenDone(std::move(Item->Answer)); });
    }
  }

  asio::io_context &Io;
  asio::steady_timer Timer;
  CURLM *Multi = nullptr;
  std::map<curl_socket_t, std::shared_ptr<Watch>> Watches;
  std::map<std::int64_t, std::shared_ptr<Transfer>> Transfers;
  std::int64_t LastNumber = 0;
};

TargetClient::TargetClient(asio::io_context &Io)
    : Implementation(std::make_unique<Impl>(Io)) {}

TargetClient::~TargetClient() = default;

void TargetClient::setMaxConnections(int Count) {
  this->Implementation->setMaxConnections(Count);
}

std::int64_t TargetClient::start(const TargetRequest &Request, Done WhenDone) {
  return this->Implementation->start(Request, std::move(WhenDone));
}

void TargetClient::cancel(std::int64_t Number) {
  this->Implementation->cancel(Number);
}

} // namespace persimmon
