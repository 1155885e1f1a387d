#include <LibNode/BudgetRows.h>

#include <charconv>
#include <cstdint>
#include <json/value.h>
#include <map>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

using dispatch::Resources;

Json::Value
ToJson(const std::map<std::uint32_t, Resources>& aAmounts)
{
  Json::Value value(Json::objectValue);
  for (const auto& [shard, amount] : aAmounts) {
    Json::Value& entry = value[std::to_string(shard)];
    for (const auto of : dispatch::kResourceMembers) {
      entry.append(Json::Int64(amount.*of));
    }
  }
  return value;
}

std::optional<std::uint32_t>
ParseShard(const std::string& aText)
{
  std::uint32_t shard = 0;
  const char* end = aText.data() + aText.size();
  const auto [position, error] = std::from_chars(aText.data(), end, shard);
  return error == std::errc{} && position == end ? std::optional(shard)
                                                 : std::nullopt;
}

std::optional<Resources>
ParseResources(const Json::Value& aValue)
{
  if (!aValue.isArray() || aValue.size() != dispatch::kResourceMembers.size()) {
    return {};
  }
  Resources amount;
  Json::ArrayIndex position = 0;
  for (const auto of : dispatch::kResourceMembers) {
    const Json::Value& number = aValue[position++];
    if (!number.isInt64() || number.asInt64() < 0) {
      return {};
    }
    amount.*of = number.asInt64();
  }
  return amount;
}

std::optional<std::int64_t>
ParseEpoch(const Json::Value& aValue)
{
  return aValue.isInt64() ? std::optional(aValue.asInt64()) : std::nullopt;
}

/// Parses an object with a member for each shard.
/// @return whether it could be understood; it may be missing
template<typename Value, typename Parse>
bool
ParseByShard(const Json::Value& aObject,
             std::map<std::uint32_t, Value>& aValues,
             const Parse& aParse)
{
  if (!aObject.isObject()) {
    return aObject.isNull();
  }
  for (const std::string& name : aObject.getMemberNames()) {
    const std::optional<std::uint32_t> shard = ParseShard(name);
    const std::optional<Value> value = aParse(aObject[name]);
    if (!shard || !value) {
      return false;
    }
    aValues[*shard] = *value;
  }
  return true;
}

} // namespace

std::string
FormatGrantsRow(const dispatch::GrantsRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["grants"] = ToJson(aRow.mGrants);
  if (!aRow.mWanted.empty()) {
    value["wanted"] = ToJson(aRow.mWanted);
  }
  for (const auto& [shard, epoch] : aRow.mEpochs) {
    value["epochs"][std::to_string(shard)] = Json::Int64(epoch);
  }
  return WriteJson(value);
}

std::optional<dispatch::GrantsRow>
ParseGrantsRow(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  dispatch::GrantsRow row;
  if (!value || !(*value)["grants"].isObject() ||
      !ParseByShard((*value)["grants"], row.mGrants, ParseResources) ||
      !ParseByShard((*value)["epochs"], row.mEpochs, ParseEpoch)) {
    return {};
  }
  if (!ParseByShard((*value)["wanted"], row.mWanted, ParseResources)) {
    row.mWanted.clear(); // The owners state it again.
  }
  return row;
}

} // namespace paddle
