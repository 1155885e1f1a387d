#include <LibTable/TableJson.h>

#include <json/json.h>
#include <utility>

namespace paddle {

namespace {

/// @return the error for a part of a message that is absent or mistyped
Error
MalformedPart(const char* aPart)
{
  return Error{ ErrorKind::Internal,
                std::string("malformed ") + aPart + " in a table message" };
}

/// @return whether @p aRow has the members that rows and conditions share
bool
HasRowMembers(const Json::Value& aRow)
{
  return aRow.isObject() && aRow["key"].isString() &&
         aRow["version"].isUInt64();
}

} // namespace

Json::Value
RowsToJson(std::span<const TableRow> aRows)
{
  Json::Value rows(Json::arrayValue);
  for (const TableRow& row : aRows) {
    Json::Value& out = rows.append(Json::objectValue);
    out["key"] = row.mKey;
    out["value"] = row.mValue;
    out["version"] = Json::UInt64(row.mVersion);
  }
  Json::Value result(Json::objectValue);
  result["rows"] = std::move(rows);
  return result;
}

Outcome<std::vector<TableRow>>
ParseRows(const Json::Value& aResult)
{
  if (!aResult.isObject() || !aResult["rows"].isArray()) {
    return MalformedPart("rows");
  }
  std::vector<TableRow> rows;
  rows.reserve(aResult["rows"].size());
  for (const Json::Value& row : aResult["rows"]) {
    if (!HasRowMembers(row) || !row["value"].isString()) {
      return MalformedPart("row");
    }
    rows.push_back({ row["key"].asString(),
                     row["value"].asString(),
                     row["version"].asUInt64() });
  }
  return rows;
}

Json::Value
KeysToJson(std::span<const std::string> aKeys)
{
  Json::Value parameters(Json::objectValue);
  parameters["keys"] = Json::Value(Json::arrayValue);
  for (const std::string& key : aKeys) {
    parameters["keys"].append(key);
  }
  return parameters;
}

Outcome<std::vector<std::string>>
ParseKeys(const Json::Value& aParameters)
{
  if (!aParameters.isObject() || !aParameters["keys"].isArray()) {
    return MalformedPart("keys");
  }
  std::vector<std::string> keys;
  for (const Json::Value& key : aParameters["keys"]) {
    if (!key.isString()) {
      return MalformedPart("key");
    }
    keys.push_back(key.asString());
  }
  return keys;
}

Json::Value
TransactionToJson(const TableTransaction& aTransaction)
{
  Json::Value parameters(Json::objectValue);
  Json::Value& conditions = parameters["conditions"];
  conditions = Json::Value(Json::arrayValue);
  for (const RowCondition& condition : aTransaction.mConditions) {
    Json::Value& out = conditions.append(Json::objectValue);
    out["key"] = condition.mKey;
    out["version"] = Json::UInt64(condition.mVersion);
  }
  Json::Value& writes = parameters["writes"];
  writes = Json::Value(Json::arrayValue);
  for (const RowWrite& write : aTransaction.mWrites) {
    Json::Value& out = writes.append(Json::objectValue);
    out["key"] = write.mKey;
    out["value"] =
      write.mValue ? Json::Value(*write.mValue) : Json::Value(Json::nullValue);
  }
  return parameters;
}

Outcome<TableTransaction>
ParseTransaction(const Json::Value& aParameters)
{
  if (!aParameters.isObject() || !aParameters["conditions"].isArray() ||
      !aParameters["writes"].isArray()) {
    return MalformedPart("transaction");
  }
  TableTransaction transaction;
  for (const Json::Value& condition : aParameters["conditions"]) {
    if (!HasRowMembers(condition)) {
      return MalformedPart("condition");
    }
    transaction.mConditions.push_back(
      { condition["key"].asString(), condition["version"].asUInt64() });
  }
  for (const Json::Value& write : aParameters["writes"]) {
    if (!write.isObject() || !write["key"].isString() ||
        !(write["value"].isString() || write["value"].isNull())) {
      return MalformedPart("write");
    }
    std::optional<std::string> value;
    if (write["value"].isString()) {
      value = write["value"].asString();
    }
    transaction.mWrites.push_back(
      { write["key"].asString(), std::move(value) });
  }
  return transaction;
}

Json::Value
TransactResultToJson(const TransactResult& aResult)
{
  if (const auto* committed = std::get_if<Committed>(&aResult)) {
    Json::Value result(Json::objectValue);
    result["committed"] = true;
    result["version"] = Json::UInt64(committed->mVersion);
    return result;
  }
  Json::Value result = RowsToJson(std::get<Conflict>(aResult).mRows);
  result["committed"] = false;
  return result;
}

TransactResult
ParseTransactResult(const Json::Value& aResult)
{
  if (!aResult.isObject() || !aResult["committed"].isBool()) {
    return MalformedPart("transaction result");
  }
  if (!aResult["committed"].asBool()) {
    Outcome<std::vector<TableRow>> rows = ParseRows(aResult);
    if (!Succeeded(rows)) {
      return ErrorOf(rows);
    }
    return Conflict{ std::move(ValueOf(rows)) };
  }
  if (!aResult["version"].isUInt64()) {
    return MalformedPart("version");
  }
  return Committed{ aResult["version"].asUInt64() };
}

} // namespace paddle
