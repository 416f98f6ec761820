#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace anvilsaddle {

/// Serializes a Thrift message in the compact protocol. Thread-safe.
template <typename Message> std::string writeThrift(const Message &Out) {
  const auto Buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> Writer(
      Buffer);
  Out.write(&Writer);
  return Buffer->getBufferAsString();
}

/// Deserializes a message and returns the number of bytes that follow it. Throws
/// apache::thrift::TException if the bytes are not a valid message. Thread-safe.
template <typename Message> std::size_t readThrift(std::string_view Text, Message &Result) {
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer does not modify the bytes, but its interface is not const-correct.
  auto *Bytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  const auto Buffer =
      std::make_shared<TMemoryBuffer>(Bytes, static_cast<std::uint32_t>(Text.size()));
  // No string or list has more elements than the input has bytes. Without these limits a forged
  // length makes the generated code allocate gigabytes.
  const auto Limit = static_cast<std::int32_t>(Text.size());
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Reader(Buffer, Limit, Limit);
  Result.read(&Reader);
  return Buffer->available_read();
}

} // namespace anvilsaddle
