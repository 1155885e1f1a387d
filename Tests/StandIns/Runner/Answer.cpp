#include <StandIns/Runner/Answer.h>

#include <cstdio>
#include <xxhash.h>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Length of the line with the checksum: 16 hexadecimal digits and a line feed.
constexpr std::size_t kChecksumLineBytes = 17;

std::string
ChecksumLine(std::string_view aText)
{
  char line[kChecksumLineBytes + 1];
  std::snprintf(
    line,
    sizeof line,
    "%016llx\n",
    static_cast<unsigned long long>(XXH3_64bits(aText.data(), aText.size())));
  return line;
}

} // namespace

std::string
EncodeAnswer(const RunnerAnswer& aAnswer)
{
  Json::Value json(Json::objectValue);
  json["runner"] = aAnswer.mRunner;
  json["id"] = aAnswer.mRequestId;
  json["key"] = aAnswer.mKey;
  json["target"] = aAnswer.mTarget;
  json["body"] = aAnswer.mBody;
  const std::string text = WriteJson(json);
  return ChecksumLine(text) + text;
}

std::optional<RunnerAnswer>
DecodeAnswer(std::string_view aText)
{
  if (aText.size() < kChecksumLineBytes) {
    return std::nullopt;
  }
  const std::string_view text = aText.substr(kChecksumLineBytes);
  if (ChecksumLine(text) != aText.substr(0, kChecksumLineBytes)) {
    return std::nullopt;
  }
  auto parsed = ParseJsonText("answer", std::string(text));
  if (!Succeeded(parsed)) {
    return std::nullopt;
  }
  const Json::Value& json = ValueOf(parsed).mRoot;
  return RunnerAnswer{ json["runner"].asString(),
                       json["id"].asString(),
                       json["key"].asString(),
                       json["target"].asString(),
                       json["body"].asString() };
}

} // namespace paddle
