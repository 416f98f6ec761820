#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace anvilsaddle {

/// Boost's parser of one HTTP/1 message, which collects the header fields in the project's own
/// list. Boost's own store of fields throws for names and values above 16 bits; here the only limit
/// is the one that is passed with the bytes. Fields of trailers are dropped. Not thread-safe.
template <bool IsRequest> class MessageParser : public boost::beast::http::basic_parser<IsRequest> {
protected:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

public:
  MessageParser() {
    // Boost applies its limit to each line; parsePart() applies one to the whole head.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
  }

  /// Parses the next part of the message: the head, the line of a chunk size, bytes of the body or
  /// the trailer section. Returns the number of bytes parsed. `Problem` is `header_limit` if a part
  /// other than the body is longer than `MaxPartBytes`, however its bytes arrive. Precondition: the
  /// message is not complete, and `Bytes` begins with the first byte that has not been parsed.
  std::size_t parsePart(std::string_view Bytes, std::size_t MaxPartBytes, ErrorCode &Problem) {
    const bool IsInHead = !this->is_header_done();
    this->HasParsedBody = false;
    const std::size_t Count =
        this->put(boost::asio::const_buffer(Bytes.data(), Bytes.size()), Problem);
    if (this->HasParsedBody) {
      return Count;
    }
    if (IsInHead) {
      this->HeadBytes += Count;
    }
    std::size_t PartBytes = IsInHead ? this->HeadBytes : Count;
    if (Problem == boost::beast::http::error::need_more) {
      PartBytes += Bytes.size() - Count;
    }
    if (PartBytes > MaxPartBytes) {
      Problem = boost::beast::http::error::header_limit;
    }
    return Count;
  }

  /// Moves out the header fields. Precondition: the head is complete.
  FieldList takeFields() { return std::move(this->Fields); }
  /// Memory of the header fields that have arrived.
  std::size_t fieldMemory() const {
    return this->Fields.capacity() * sizeof(FieldList::value_type) + this->TextMemory;
  }

protected:
  /// The next bytes of the body. Returns how many of them were taken; the others are passed again
  /// with the next part.
  virtual std::size_t onBody(std::string_view Bytes) = 0;

private:
  void on_field_impl(boost::beast::http::field, StringView Name, StringView Value,
                     ErrorCode &) override {
    const bool IsTrailer = this->is_header_done();
    if (IsTrailer) {
      return;
    }
    const auto &[StoredName, StoredValue] = this->Fields.emplace_back(
        std::string(Name.data(), Name.size()), std::string(Value.data(), Value.size()));
    this->TextMemory += StoredName.capacity() + StoredValue.capacity();
  }
  void on_header_impl(ErrorCode &) override {}
  std::size_t on_body_impl(StringView Bytes, ErrorCode &) override { return this->addBody(Bytes); }
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, StringView Bytes, ErrorCode &) override {
    return this->addBody(Bytes);
  }
  void on_finish_impl(ErrorCode &) override {}

  std::size_t addBody(StringView Bytes) {
    this->HasParsedBody = true;
    return this->onBody({Bytes.data(), Bytes.size()});
  }

  FieldList Fields;
  /// Memory of the names and values.
  std::size_t TextMemory = 0;
  /// Bytes of the head that were parsed.
  std::size_t HeadBytes = 0;
  /// The last part was one of the body.
  bool HasParsedBody = false;
};

} // namespace anvilsaddle
