#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// A document to apply.
struct ApplyRequest
{
  std::string mFile; ///< Name of the file, for errors.
  std::string mText; ///< Stored unchanged, with comments and layout.
  /// The version that the author edited. If another version is in force, the
  /// change is refused as a conflict. If unset, any version is replaced.
  std::optional<std::uint64_t> mBaseVersion;
};

/// Checks a whole service or places document and puts it in force in one
/// transaction. A document that is in force already changes nothing.
ControlResult
ApplyDocument(const ControlPorts& aPorts,
              const Author& aAuthor,
              const ApplyRequest& aRequest);

/// Checks a document of any kind without calling the platform.
/// @param aFile name of the file, for errors
ControlResult
CheckDocumentFile(std::string_view aFile, std::string_view aText);

} // namespace paddle
