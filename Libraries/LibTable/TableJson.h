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

/// @return a result of table.read or table.scan
Json::Value
RowsToJson(std::span<const TableRow> aRows);

/// @param aResult a result of table.read or table.scan, or the conflicting rows
///                of table.transact
Outcome<std::vector<TableRow>>
ParseRows(const Json::Value& aResult);

/// @return parameters of table.read
Json::Value
KeysToJson(std::span<const std::string> aKeys);

/// @param aParameters parameters of table.read
Outcome<std::vector<std::string>>
ParseKeys(const Json::Value& aParameters);

/// @return parameters of table.transact
Json::Value
TransactionToJson(const TableTransaction& aTransaction);

/// @param aParameters parameters of table.transact
Outcome<TableTransaction>
ParseTransaction(const Json::Value& aParameters);

/// @param aResult a Committed or a Conflict, but no Error: table.transact
/// returns
///                errors as errors of JSON-RPC
Json::Value
TransactResultToJson(const TransactResult& aResult);

/// @param aResult a result of table.transact
TransactResult
ParseTransactResult(const Json::Value& aResult);
/// @}

} // namespace paddle
