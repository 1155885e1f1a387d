#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Outcome.h>

namespace paddle {

/// A data centre and the region it belongs to.
struct Place
{
  std::string mDataCentre;
  std::string mRegion;
};

/// The data centres of a deployment.
struct PlacesDocument
{
  std::vector<Place> mPlaces; ///< At least one; names are unique.
};

/// Parses and checks a places document, see ParseServiceDocument().
Outcome<PlacesDocument>
ParsePlacesDocument(std::string_view aFile, std::string_view aText);

} // namespace paddle
