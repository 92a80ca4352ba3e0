#pragma once

#include "targetclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace persimmon {

/// Reads the answer to one request out of a target's bytes. Says when they are
/// more than an answer can be: the parser alone bounds only a body and the part
/// of a head that it has not taken yet.
class AnswerReader {
public:
  enum class State { NeedsMore, Whole, Refused };

  /// Waits for the answer to a request with \p Method.
  void begin(std::string_view Method);

  void add(std::string_view Bytes);

  /// Reads on up to the end of an answer. Informational heads are passed over.
  State read();

  /// The connection ended. An answer without a length ends with it.
  State end();

  /// Whether the target keeps the connection open; of a whole answer.
  bool keepAlive() const { return this->Incoming->keep_alive(); }

  /// Takes the whole answer.
  TargetAnswer take();

  /// Waits for another answer, as the last one is to another request. Returns
  /// whether another may follow.
  bool passOver();

  /// Whether bytes are left that were not read.
  bool hasMore() const { return this->Unparsed.size() > 0; }

  /// What is held of the answer that is being read, in bytes of memory.
  std::size_t heldBytes() const;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void startParser();
  std::size_t bodyBytes() const { return this->Incoming->get().body().size(); }
  bool withinBounds() const;
  /// Returns whether another head may follow.
  bool passInformational();

  boost::beast::flat_buffer Unparsed;
  std::optional<Parser> Incoming;
  /// Of a request that gets a head only.
  bool NoBody = false;
  std::size_t HeadBytes = 0;
  /// Of chunks: their heads, line ends and trailers.
  std::size_t FramingBytes = 0;
  int AnswersToOthers = 0;
  int InformationalHeads = 0;
  std::size_t InformationalBytes = 0;
};

} // namespace persimmon
