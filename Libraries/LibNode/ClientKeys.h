#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <LibNode/DirectoryPort.h>
#include <LibTime/Time.h>

namespace paddle {

/// Longest key of an account. The head of a request may take 16 KB, and longer
/// texts would only cost time.
inline constexpr std::size_t kMaxKeyBytes = 512;

/// A copy of the configuration ceases to admit keys this much before the
/// revocation bound. It covers the rates of clocks and the resolution of times.
inline constexpr Millis kRevocationMargin{ 250 };

/// @param aRevocationBound nothing without strict revocation
/// @return NodeSettings::mMaxKeyCopyAge
std::optional<Millis>
MaxKeyCopyAge(std::optional<Millis> aRevocationBound);

/// A key and the account that it belongs to.
struct ClientKey
{
  std::string mKey;
  std::string mAccount;
};

/// The keys of a configuration's accounts, by digest.
struct ClientKeys
{
  /// Without accounts, no call needs a key.
  bool mAccountsListed = false;
  std::unordered_multimap<std::uint64_t, ClientKey> mByDigest;
};

ClientKeys
MakeClientKeys(std::span<const ClientAccount> aAccounts);

/// Finds the account of a key. The time that it takes depends on the key that
/// is given, and not on how much of it agrees with a key of an account.
/// @return the account's name, or null if the key belongs to none
const std::string*
FindAccount(const ClientKeys& aKeys, std::string_view aKey);

/// @param aValues values of all Authorization header fields of a request
/// @return the key, or nothing without a header field of the scheme Bearer that
///         has one, or with header fields that differ
std::optional<std::string_view>
ParseBearerKey(std::span<const std::string_view> aValues);

/// Of which jobs a caller may learn, and which ones it may cancel.
enum class JobAccess
{
  All, ///< The configuration lists no accounts.
  Own, ///< Those of the caller's account, and those that belong to none.
  /// Those that belong to none. For others it is not known whether the caller's
  /// key is valid, so they are neither served nor denied.
  Undecided
};

/// On whose behalf a request is served.
struct Caller
{
  std::string mAccount{}; ///< Empty: none.
  JobAccess mAccess = JobAccess::All;
};

enum class CallVerdict
{
  Admitted,
  KeyMissing,
  KeyUnknown,
  /// The copy of the configuration is too old to tell whether the key is valid.
  CopyTooOld
};

struct CallDecision
{
  CallVerdict mVerdict = CallVerdict::CopyTooOld;
  Caller mCaller; ///< The account is also set for CopyTooOld, for the log.
};

/// What is known about the copy of the configuration that decides.
struct KeyCopyAge
{
  /// See ConfigurationCopy::mAge.
  std::optional<Millis> mAge;
  /// The copy admits keys only while it is younger; nothing: at any age.
  std::optional<Millis> mMaxAge;
  /// A newer version may have keys that this one lacks.
  bool mStale = false;
};

/// Decides whether a call is served, and on whose behalf.
/// @param aRoute         the call's route
/// @param aAuthorization values of all Authorization header fields
CallDecision
DecideCall(const ClientKeys& aKeys,
           const Route& aRoute,
           std::span<const std::string_view> aAuthorization,
           const KeyCopyAge& aCopy);

} // namespace paddle
