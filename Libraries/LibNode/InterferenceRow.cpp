#include <LibNode/InterferenceRow.h>

#include <cmath>
#include <json/value.h>
#include <optional>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Numbers are stored in whole thousandths: more digits would only make the row
/// larger.
constexpr double kThousandthsPerUnit = 1000;

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
FormatInterference(const dispatch::InterferenceRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  for (const auto& image : aRecord.mImages) {
    value["tails"][image.mName] = ToThousandths(image.mMinTailMs);
  }
  for (const auto& effect : aRecord.mEffects) {
    Json::Value& entry = value["effects"][effect.mInterfering][effect.mServing];
    entry.append(ToThousandths(effect.mMean));
    entry.append(ToThousandths(effect.mVariance));
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
