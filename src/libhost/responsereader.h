#pragma once

#include "targetclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmon {

/// Parses the target's response to a request and enforces its size limits.
/// Boost.Beast's parser alone limits only the body and the part of the head
/// that it has not consumed yet.
class ResponseReader {
public:
  enum class State { NeedsMore, Complete, Invalid };

  /// Prepares for the response to a request with \p Method.
  void begin(std::string_view Method);

  void add(std::string_view Bytes);

  /// Parses up to the end of a response. Informational (1xx) responses are
  /// skipped.
  State read();

  /// Handles the end of the connection, which also ends a response without a
  /// length.
  State endOfStream();

  /// Returns whether the target keeps the connection open. The response must be
  /// complete.
  bool keepAlive() const { return this->KeepAlive; }

  /// Moves out the complete response.
  TargetResponse take();

  /// Skips a response that belongs to another request. Returns whether another
  /// response may follow.
  bool skipMismatched();

  /// Returns whether there is unparsed data.
  bool hasMore() const { return this->Unparsed.size() > 0; }

  /// Returns the memory of the response that is being read, in bytes.
  std::size_t heldBytes() const;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void startParser();
  std::size_t bodyBytes() const { return this->Incoming->get().body().size(); }
  /// Returns whether a complete head is the head of a response.
  bool acceptsHead() const;
  /// Moves the fields out of the parser, which adds those of trailers to them.
  void storeHead();
  bool withinLimits() const;
  /// Skips an informational response. Returns whether another one may follow.
  bool skipInformational();

  boost::beast::flat_buffer Unparsed;
  std::optional<Parser> Incoming;
  /// True for a HEAD request, whose response has no body.
  bool NoBody = false;
  std::vector<wire::Header> Headers;
  bool KeepAlive = false;
  std::size_t HeadBytes = 0;
  /// Bytes of chunk headers, line ends and trailers.
  std::size_t FramingBytes = 0;
  int MismatchedResponses = 0;
  int InformationalResponses = 0;
  std::size_t InformationalBytes = 0;
};

} // namespace persimmon
