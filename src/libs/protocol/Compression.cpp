#include "protocol/Compression.h"

#include <array>
#include <memory>

#include <gio/gio.h>

namespace anvilsaddle {

namespace {

constexpr std::size_t ChunkBytes = 16384;
/// Level 1 is the fastest. Higher levels make publications little smaller.
constexpr int CompressionLevel = 1;

struct Unreference {
  void operator()(GConverter *Value) const { g_object_unref(Value); }
};

std::optional<std::string> convertAll(GConverter *Converter, std::string_view Input,
                                      std::size_t MaxBytes) {
  std::string Result;
  std::array<char, ChunkBytes> Buffer;
  while (true) {
    gsize Read = 0;
    gsize Written = 0;
    GError *Error = nullptr;
    const GConverterResult Status =
        g_converter_convert(Converter, Input.data(), Input.size(), Buffer.data(), Buffer.size(),
                            G_CONVERTER_INPUT_AT_END, &Read, &Written, &Error);
    g_clear_error(&Error);
    Input.remove_prefix(Read);
    Result.append(Buffer.data(), Written);
    if (Status == G_CONVERTER_ERROR || Result.size() > MaxBytes) {
      return std::nullopt;
    }
    if (Status == G_CONVERTER_FINISHED) {
      return Input.empty() ? std::optional(std::move(Result)) : std::nullopt;
    }
  }
}

} // namespace

std::string compress(std::string_view Bytes) {
  const std::unique_ptr<GConverter, Unreference> Converter(
      G_CONVERTER(g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, CompressionLevel)));
  return convertAll(Converter.get(), Bytes, SIZE_MAX).value_or("");
}

std::optional<std::string> decompress(std::string_view Compressed, std::size_t MaxBytes) {
  const std::unique_ptr<GConverter, Unreference> Converter(
      G_CONVERTER(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB)));
  return convertAll(Converter.get(), Compressed, MaxBytes);
}

} // namespace anvilsaddle
