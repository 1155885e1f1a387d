#include <LibNode/ClientKeys.h>

#include <algorithm>
#include <strings.h>
#include <xxhash.h>

namespace paddle {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kSpaces = " \t";

std::uint64_t
DigestOf(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size());
}

/// Compares all bytes, wherever the first difference is.
bool
EqualInConstantTime(std::string_view aKey, std::string_view aOther)
{
  if (aKey.size() != aOther.size()) {
    return false;
  }
  // Volatile, so that the compiler does not leave the loop early.
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < aKey.size(); ++i) {
    difference = static_cast<unsigned char>(
      difference | (static_cast<unsigned char>(aKey[i]) ^
                    static_cast<unsigned char>(aOther[i])));
  }
  return difference == 0;
}

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kSpaces);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpaces) + 1 - begin);
}

/// @return whether the copy may no longer admit keys
bool
IsTooOld(const KeyCopyAge& aCopy)
{
  return aCopy.mMaxAge && (!aCopy.mAge || *aCopy.mAge >= *aCopy.mMaxAge);
}

} // namespace

std::optional<Millis>
MaxKeyCopyAge(std::optional<Millis> aRevocationBound)
{
  return aRevocationBound
           ? std::optional<Millis>(*aRevocationBound - kRevocationMargin)
           : std::nullopt;
}

ClientKeys
MakeClientKeys(std::span<const ClientAccount> aAccounts)
{
  ClientKeys keys;
  keys.mAccountsListed = !aAccounts.empty();
  for (const ClientAccount& account : aAccounts) {
    for (const std::string& key : account.mKeys) {
      keys.mByDigest.emplace(DigestOf(key),
                             ClientKey{ key, account.mSpec.mName });
    }
  }
  return keys;
}

const std::string*
FindAccount(const ClientKeys& aKeys, std::string_view aKey)
{
  if (aKey.empty() || aKey.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const std::string* account = nullptr;
  const auto [begin, end] = aKeys.mByDigest.equal_range(DigestOf(aKey));
  for (auto entry = begin; entry != end; ++entry) {
    if (EqualInConstantTime(entry->second.mKey, aKey)) {
      account = &entry->second.mAccount;
    }
  }
  return account;
}

std::optional<std::string_view>
ParseBearerKey(std::span<const std::string_view> aValues)
{
  if (aValues.empty()) {
    return {};
  }
  const std::string_view value = Trimmed(aValues.front());
  const bool differ =
    std::any_of(aValues.begin(), aValues.end(), [&](std::string_view aOther) {
      return Trimmed(aOther) != value;
    });
  const std::size_t end = value.find_first_of(kSpaces);
  if (differ || end == std::string_view::npos) {
    return {};
  }
  const std::string_view scheme = value.substr(0, end);
  if (scheme.size() != kScheme.size() ||
      strncasecmp(scheme.data(), kScheme.data(), kScheme.size()) != 0) {
    return {};
  }
  return Trimmed(value.substr(end));
}

CallDecision
DecideCall(const ClientKeys& aKeys,
           const Route& aRoute,
           std::span<const std::string_view> aAuthorization,
           const KeyCopyAge& aCopy)
{
  if (!aKeys.mAccountsListed) {
    return { CallVerdict::Admitted, { {}, JobAccess::All } };
  }
  const std::optional<std::string_view> key = ParseBearerKey(aAuthorization);
  const std::string* account = key ? FindAccount(aKeys, *key) : nullptr;
  const bool tooOld = IsTooOld(aCopy);
  if (aRoute.mPublic) {
    if (account != nullptr && !tooOld) {
      return { CallVerdict::Admitted, { *account, JobAccess::Own } };
    }
    const bool undecided = key && (tooOld || aCopy.mStale);
    return { CallVerdict::Admitted,
             { {}, undecided ? JobAccess::Undecided : JobAccess::Own } };
  }
  CallDecision decision;
  decision.mCaller.mAccess = JobAccess::Own;
  if (account != nullptr) {
    decision.mCaller.mAccount = *account;
  }
  decision.mVerdict = tooOld               ? CallVerdict::CopyTooOld
                      : account != nullptr ? CallVerdict::Admitted
                      : key                ? CallVerdict::KeyUnknown
                                           : CallVerdict::KeyMissing;
  return decision;
}

} // namespace paddle
