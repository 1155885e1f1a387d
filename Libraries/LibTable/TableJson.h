#pragma once

#include <json/value.h>
#include <span>
#include <string>
#include <vector>

#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// @name Parameters and results of table.read, table.scan and table.transact
/// The parse functions return an error of kind Internal if a member is absent
/// or has the wrong type.
/// @{
Json::Value
RowsToJson(std::span<const TableRow> aRows);

Outcome<std::vector<TableRow>>
ParseRows(const Json::Value& aResult);

Json::Value
KeysToJson(std::span<const std::string> aKeys);

Outcome<std::vector<std::string>>
ParseKeys(const Json::Value& aParameters);

Json::Value
TransactionToJson(const TableTransaction& aTransaction);

Outcome<TableTransaction>
ParseTransaction(const Json::Value& aParameters);

/// @param aResult holds no error
Json::Value
TransactResultToJson(const TransactResult& aResult);

TransactResult
ParseTransactResult(const Json::Value& aResult);
/// @}

} // namespace paddle
