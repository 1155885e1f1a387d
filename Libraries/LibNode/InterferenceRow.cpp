#include <LibNode/InterferenceRow.h>

#include <algorithm>
#include <cmath>
#include <json/value.h>
#include <optional>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Numbers are stored in whole thousandths: more digits would only make the row
/// larger.
constexpr double kThousandthsPerUnit = 1000;

/// Bytes of the row beside its entries: {"effects":{},"tails":{}}.
constexpr std::size_t kRowOverhead = 30;
/// Bytes of a pair of separators, such as a colon and a comma, or brackets.
constexpr std::size_t kSeparatorBytes = 2;

Json::Int64
ToThousandths(double aValue)
{
  return std::llround(aValue * kThousandthsPerUnit);
}

/// @return whether the value is a number as ToThousandths() returns it
bool
IsStoredNumber(const Json::Value& aValue)
{
  return aValue.isInt64() && aValue.asInt64() >= 0;
}

double
FromThousandths(const Json::Value& aValue)
{
  return static_cast<double>(aValue.asInt64()) / kThousandthsPerUnit;
}

} // namespace

std::string
FormatInterference(const dispatch::InterferenceRecord& aRecord,
                   std::size_t aMaxBytes)
{
  Json::Value value(Json::objectValue);
  // The estimates of effects are of no use without the tail latencies, and the
  // other way round, so that each kind has half of the space.
  const std::size_t half = (aMaxBytes - std::min(aMaxBytes, kRowOverhead)) / 2;
  std::size_t left = half;
  for (const auto& image : aRecord.mImages) {
    const Json::Int64 tail = ToThousandths(image.mMinTailMs);
    const std::size_t bytes = WriteJson(image.mName).size() +
                              std::to_string(tail).size() + kSeparatorBytes;
    if (bytes <= left) {
      left -= bytes;
      value["tails"][image.mName] = tail;
    }
  }
  left += half;
  for (const auto& effect : aRecord.mEffects) {
    const Json::Int64 mean = ToThousandths(effect.mMean);
    const Json::Int64 variance = ToThousandths(effect.mVariance);
    const bool first = !value["effects"].isMember(effect.mInterfering);
    const std::size_t bytes =
      (first ? WriteJson(effect.mInterfering).size() + 2 * kSeparatorBytes
             : 0) +
      WriteJson(effect.mServing).size() + std::to_string(mean).size() +
      std::to_string(variance).size() + 3 * kSeparatorBytes;
    if (bytes <= left) {
      left -= bytes;
      Json::Value& entry =
        value["effects"][effect.mInterfering][effect.mServing];
      entry.append(mean);
      entry.append(variance);
    }
  }
  return WriteJson(value);
}

dispatch::InterferenceRecord
ParseInterference(std::string_view aText)
{
  dispatch::InterferenceRecord record;
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return record;
  }
  const Json::Value& tails = (*value)["tails"];
  if (tails.isObject()) {
    for (const std::string& name : tails.getMemberNames()) {
      if (IsStoredNumber(tails[name])) {
        record.mImages.push_back({ name, FromThousandths(tails[name]) });
      }
    }
  }
  const Json::Value& effects = (*value)["effects"];
  if (!effects.isObject()) {
    return record;
  }
  for (const std::string& interfering : effects.getMemberNames()) {
    const Json::Value& row = effects[interfering];
    if (!row.isObject()) {
      continue;
    }
    for (const std::string& serving : row.getMemberNames()) {
      const Json::Value& entry = row[serving];
      if (entry.isArray() && entry.size() == 2 && IsStoredNumber(entry[0]) &&
          IsStoredNumber(entry[1])) {
        record.mEffects.push_back({ interfering,
                                    serving,
                                    FromThousandths(entry[0]),
                                    FromThousandths(entry[1]) });
      }
    }
  }
  return record;
}

} // namespace paddle
