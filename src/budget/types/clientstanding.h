#pragma once

#include "budget/types/clientaddress.h"
#include "framework/types/timepoint.h"
#include "framework/types/units.h"

namespace lavendertally::budget {

/// What a client's connection does.
enum class ClientActivity
{
    /// Its request is being handled, and it takes the answer: it cannot give way.
    Busy,
    /// No byte of a request has come since the last answer.
    Idle,
    /// It sends a request.
    Sending,
    /// Its request is being handled, and part of the answer waits for it.
    Reading,
    /// It has had its last answer and has to close.
    Leaving,
};

/// Why a client's connection deserves what it holds.
struct ClientStanding
{
    ClientActivity activity = ClientActivity::Busy;
    ClientAddress address;
    /// Memory that is free once it gives way.
    framework::Bytes held;
    /// Bytes per second that it sent or took recently.
    framework::Bytes rate;
    /// When its activity began.
    framework::TimePoint since;
};

} // namespace lavendertally::budget
