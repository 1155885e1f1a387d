#pragma once

#include <json/value.h>
#include <lua5.4/lua.hpp>

namespace paddle {

/// Pushes a JSON value onto the Lua stack. JSON null becomes nil.
void
PushJson(lua_State* aLua, const Json::Value& aValue);

/// Converts a Lua value to JSON.
/// @param aIndex stack index of the value
/// @return the value at @p aIndex; a table with an element 1 becomes an array,
///         any other table becomes an object
Json::Value
JsonAt(lua_State* aLua, int aIndex);

} // namespace paddle
