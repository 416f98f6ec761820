#include "protocol/HttpMessage.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <gio/gio.h>

namespace anvilsaddle {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 10> HopByHopFields = {
    "Connection", "Keep-Alive",         "Proxy-Connection",    "Transfer-Encoding", "TE",
    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization", "Content-Length",    "Trailer"};

beast::string_view toBeastView(std::string_view Text) { return {Text.data(), Text.size()}; }

void appendField(std::string &Out, std::string_view Name, std::string_view Value) {
  Out += Name;
  Out += ": ";
  Out += Value;
  Out += "\r\n";
}

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return beast::iequals(toBeastView(Left), toBeastView(Right));
}

std::string_view findField(const FieldList &Fields, std::string_view Name) {
  for (const auto &[Field, Value] : Fields) {
    if (equalsIgnoreCase(Field, Name)) {
      return Value;
    }
  }
  return {};
}

bool hasOnlyChunkedCoding(const FieldList &Fields) {
  return std::all_of(Fields.begin(), Fields.end(), [](const auto &Field) {
    return !equalsIgnoreCase(Field.first, "Transfer-Encoding") ||
           beast::iequals(toBeastView(Field.second), "chunked");
  });
}

FieldList endToEndFields(const FieldList &Fields) {
  beast::http::token_list ConnectionOptions(toBeastView(findField(Fields, "Connection")));
  FieldList Result;
  for (const auto &Field : Fields) {
    const bool IsHopByHop =
        std::any_of(HopByHopFields.begin(), HopByHopFields.end(), [&Field](std::string_view Name) {
          return equalsIgnoreCase(Field.first, Name);
        });
    if (!IsHopByHop && !ConnectionOptions.exists(toBeastView(Field.first))) {
      Result.push_back(Field);
    }
  }
  return Result;
}

std::size_t memoryOf(const RequestHead &Head) {
  std::size_t Result = Head.RequestTarget.capacity();
  Result += Head.Fields.capacity() * sizeof(FieldList::value_type);
  for (const auto &[Name, Value] : Head.Fields) {
    Result += Name.capacity() + Value.capacity();
  }
  return Result;
}

std::string writeRequestHead(const RequestHead &Head, std::size_t BodyBytes) {
  std::string Result = Head.Method + " " + Head.RequestTarget + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Head.Fields) {
    appendField(Result, Name, Value);
  }
  const bool UsuallyHasBody =
      Head.Method == "POST" || Head.Method == "PUT" || Head.Method == "PATCH";
  if (BodyBytes > 0 || UsuallyHasBody) {
    appendField(Result, "Content-Length", std::to_string(BodyBytes));
  }
  return Result + "\r\n";
}

std::string writeResponseHead(const ResponseHead &Head, bool Close) {
  std::string Result = "HTTP/1.1 " + std::to_string(Head.Status) + " " + Head.Reason + "\r\n";
  for (const auto &[Name, Value] : Head.Fields) {
    appendField(Result, Name, Value);
  }
  if (Head.Length) {
    appendField(Result, "Content-Length", std::to_string(*Head.Length));
  } else if (Head.Framing == BodyFraming::Chunked) {
    appendField(Result, "Transfer-Encoding", "chunked");
  }
  if (Close) {
    appendField(Result, "Connection", "close");
  }
  return Result + "\r\n";
}

std::string writeChunk(std::string_view Text) {
  std::array<char, 20> Size{};
  g_snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  std::string Result(Size.data());
  Result += Text;
  return Result + "\r\n";
}

std::string_view pathWithoutQuery(std::string_view RequestTarget) {
  return RequestTarget.substr(0, RequestTarget.find('?'));
}

std::string queryParameter(std::string_view RequestTarget, std::string_view Name) {
  const std::size_t QueryStart = RequestTarget.find('?');
  if (QueryStart == std::string_view::npos) {
    return {};
  }
  const std::string Query(RequestTarget.substr(QueryStart + 1));
  const std::string WantedName(Name);
  std::string Result;
  GUriParamsIter Iterator;
  g_uri_params_iter_init(&Iterator, Query.c_str(), -1, "&", G_URI_PARAMS_WWW_FORM);
  gchar *Key = nullptr;
  gchar *Value = nullptr;
  while (g_uri_params_iter_next(&Iterator, &Key, &Value, nullptr)) {
    if (WantedName == Key) {
      Result = Value;
    }
    g_free(Key);
    g_free(Value);
  }
  return Result;
}

std::string reasonPhrase(int Status) {
  const auto Text =
      beast::http::obsolete_reason(static_cast<beast::http::status>(static_cast<unsigned>(Status)));
  return {Text.data(), Text.size()};
}

} // namespace anvilsaddle
