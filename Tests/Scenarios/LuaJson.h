#pragma once

#include <json/value.h>
#include <lua5.4/lua.hpp>

namespace paddle {

/// Pushes a JSON value; null becomes nil.
void
PushJson(lua_State* aLua, const Json::Value& aValue);

/// @return the Lua value at @p aIndex; a table with an element 1 becomes an
///         array, any other an object
Json::Value
JsonAt(lua_State* aLua, int aIndex);

} // namespace paddle
