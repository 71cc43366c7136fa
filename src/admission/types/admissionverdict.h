#pragma once

namespace lavendertally::admission {

enum class AdmissionVerdict
{
    /// Start it now.
    Run,
    /// Keep it; a later call to takeDecisions() says what becomes of it.
    Wait,
    /// Provably not run; the reason stands beside.
    Refuse,
};

} // namespace lavendertally::admission
