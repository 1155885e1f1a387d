#include <LibNode/InterferenceRow.h>

#include <cmath>
#include <json/value.h>
#include <optional>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Figures are stored in thousandths: more digits would only cost bytes.
constexpr double kScale = 1000;

Json::Int64
Scaled(double aValue)
{
  return std::llround(aValue * kScale);
}

/// @return whether the value is a figure as Scaled() makes them
bool
IsFigure(const Json::Value& aValue)
{
  return aValue.isInt64() && aValue.asInt64() >= 0;
}

double
Unscaled(const Json::Value& aValue)
{
  return static_cast<double>(aValue.asInt64()) / kScale;
}

} // namespace

std::string
FormatInterference(const dispatch::InterferenceRecord& aRecord)
{
  Json::Value value(Json::objectValue);
  for (const auto& image : aRecord.mImages) {
    value["tails"][image.mName] = Scaled(image.mMinTailMs);
  }
  for (const auto& effect : aRecord.mEffects) {
    Json::Value& entry = value["effects"][effect.mInterfering][effect.mServing];
    entry.append(Scaled(effect.mMean));
    entry.append(Scaled(effect.mVariance));
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
      if (IsFigure(tails[name])) {
        record.mImages.push_back({ name, Unscaled(tails[name]) });
      }
    }
  }
  const Json::Value& effects = (*value)["effects"];
  if (!effects.isObject()) {
    return record;
  }
  for (const std::string& disturbing : effects.getMemberNames()) {
    const Json::Value& row = effects[disturbing];
    if (!row.isObject()) {
      continue;
    }
    for (const std::string& serving : row.getMemberNames()) {
      const Json::Value& entry = row[serving];
      if (entry.isArray() && entry.size() == 2 && IsFigure(entry[0]) &&
          IsFigure(entry[1])) {
        record.mEffects.push_back(
          { disturbing, serving, Unscaled(entry[0]), Unscaled(entry[1]) });
      }
    }
  }
  return record;
}

} // namespace paddle
