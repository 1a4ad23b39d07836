/** @file http_framing.cc Lines, lengths and codings of an HTTP/1 head. */
#include "protocol/http_framing.h"

#include <algorithm>
#include <array>

namespace gv {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
/** More digits may not fit into 64 bits. */
constexpr size_t kMostLengthDigits = 18;

constexpr std::array<const char*, 9> kFaultTexts{
    "none",
    "a line end is not a carriage return and a line feed",
    "a field is folded over several lines",
    "a field name is no token",
    "both a transfer coding and a length",
    "a transfer coding other than chunked",
    "a transfer coding below HTTP/1.1",
    "the length is no plain number",
    "several lengths"};

/** @param lower In lower case. */
bool EqualsIgnoringCase(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    [](char a, char b) {
                      const bool is_upper = a >= 'A' && a <= 'Z';
                      return (is_upper ? static_cast<char>(a | 0x20) : a) == b;
                    });
}

/** @return @p text without spaces and tabs at both ends. */
std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kAllowed =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
      "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool IsLength(std::string_view text) {
  return !text.empty() && text.size() <= kMostLengthDigits &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

/** @return True if a line end is not whole. A carriage return at the end may
 * still become whole. */
bool HasBareLineEnd(std::string_view bytes) {
  for (size_t at = bytes.find('\n'); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    if (at == 0 || bytes[at - 1] != '\r') {
      return true;
    }
  }
  for (size_t at = bytes.find('\r'); at != std::string_view::npos;
       at = bytes.find('\r', at + 1)) {
    if (at + 1 < bytes.size() && bytes[at + 1] != '\n') {
      return true;
    }
  }
  return false;
}

/** What the fields say of the body. */
struct BodyFields {
  bool has_coding_ = false;
  bool has_length_ = false;
  HeadFault fault_ = HeadFault::kNone;  ///< The first that was found.

  void Add(std::string_view name, std::string_view value) {
    if (EqualsIgnoringCase(name, "transfer-encoding")) {
      // A second field would make a list of it.
      const bool is_sound =
          !has_coding_ && EqualsIgnoringCase(value, "chunked");
      has_coding_ = true;
      Note(is_sound ? HeadFault::kNone : HeadFault::kBadCoding);
    } else if (EqualsIgnoringCase(name, "content-length")) {
      Note(has_length_        ? HeadFault::kTwoLengths
           : !IsLength(value) ? HeadFault::kBadLength
                              : HeadFault::kNone);
      has_length_ = true;
    }
  }
  void Note(HeadFault fault) {
    fault_ = fault_ == HeadFault::kNone ? fault : fault_;
  }
};

/** @param first_line Of a request, which ends with the version, or of an
 * answer, which begins with it. */
bool IsBelowHttp11(std::string_view first_line) {
  constexpr std::string_view kName = "HTTP/1.";
  const size_t at =
      first_line.substr(0, kName.size()) == kName ? 0 : first_line.rfind(kName);
  if (at == std::string_view::npos || at + kName.size() >= first_line.size()) {
    return true;
  }
  return first_line[at + kName.size()] == '0';
}

HeadFault CheckFields(std::string_view first_line, std::string_view fields) {
  BodyFields body;
  while (!fields.empty()) {
    const size_t end = fields.find(kLineEnd);
    const std::string_view line = fields.substr(0, end);
    fields.remove_prefix(end + kLineEnd.size());
    if (line.front() == ' ' || line.front() == '\t') {
      return HeadFault::kFoldedLine;
    }
    const size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !IsToken(name)) {
      return HeadFault::kBadFieldName;
    }
    body.Add(name, Trim(line.substr(colon + 1)));
  }
  if (body.has_coding_ && body.has_length_) {
    return HeadFault::kCodingAndLength;
  }
  if (body.has_coding_ && IsBelowHttp11(first_line)) {
    return HeadFault::kOldVersion;
  }
  return body.fault_;
}

}  // namespace

const char* HeadFaultText(HeadFault fault) {
  return kFaultTexts.at(static_cast<size_t>(fault));
}

HeadScan ScanHead(std::string_view bytes) {
  size_t begin = 0;
  while (bytes.substr(begin, kLineEnd.size()) == kLineEnd) {
    begin += kLineEnd.size();
  }
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const size_t end = bytes.find(kHeadEnd, begin);
  const bool is_whole = end != std::string_view::npos;
  const std::string_view head = bytes.substr(
      begin, is_whole ? end + kLineEnd.size() - begin : std::string_view::npos);
  if (HasBareLineEnd(head)) {
    return HeadScan{0, HeadFault::kBareLineEnd};
  }
  if (!is_whole) {
    return HeadScan{};
  }
  const size_t first = head.find(kLineEnd);
  const std::string_view fields = head.substr(first + kLineEnd.size());
  return HeadScan{
      end + kHeadEnd.size(), CheckFields(head.substr(0, first), fields),
      static_cast<size_t>(std::count(fields.begin(), fields.end(), '\n'))};
}

}  // namespace gv
