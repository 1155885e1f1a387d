#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <LibDispatch/AccountGrants.h>

namespace paddle {

/// Table with a row for each client account with a cap, in which the shards
/// share the cap, see LibDispatch/AccountGrants.h.
inline constexpr const char* kBudgetTable = "budgets";
/// All keys of these rows start with kBudgetPrefix; the name of the account
/// follows. They sort before kBudgetPrefixEnd, the excluded end of a read.
inline constexpr const char* kBudgetPrefix = "account/";
inline constexpr const char* kBudgetPrefixEnd = "account0";

/// Formats the row of an account as JSON:
/// {"grants":{"SHARD":[milli_cores,memory_mb,accelerators]},
///  "wanted":{"SHARD":[...]},"epochs":{"SHARD":EPOCH}}
std::string
FormatGrantsRow(const dispatch::GrantsRow& aRow);

/// Parses such a row.
/// @return nothing if any grant or epoch can't be understood
std::optional<dispatch::GrantsRow>
ParseGrantsRow(std::string_view aText);

} // namespace paddle
