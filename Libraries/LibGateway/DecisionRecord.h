#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <LibGateway/Mailbox.h>
#include <LibRouting/RoutingActions.h>

namespace paddle {

/// One decision about one request, as kept for the customer affected.
struct DecisionRecord
{
  std::chrono::system_clock::time_point mTime;
  std::shared_ptr<const Mailbox> mRequest;
  Explanation mExplanation;
};

/// @return the rule's name in records and metrics
const char*
NameOf(Rule aRule);

/// @return the rule in plain words
const char*
TextOf(Rule aRule);

/// @return what would have led to another decision, in plain words
const char*
WhatWouldChange(Rule aRule);

/// @return the record as one line of JSON
std::string
FormatRecord(const DecisionRecord& aRecord);

} // namespace paddle
