#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// A data centre and the region it belongs to.
struct DataCentreLocation
{
  std::string mDataCentre;
  std::string mRegion;
};

/// The data centres of a deployment ("places document" in the texts for users).
struct PlacesDocument
{
  /// At least one; their names are unique.
  std::vector<DataCentreLocation> mDataCentres;
};

/// Parses and validates a places document.
/// @param aFile name used in errors
/// @return the document, or all problems, see ParseServiceDocument()
Outcome<PlacesDocument>
ParsePlacesDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
