#pragma once

namespace lavendertally::routing {

/// What decided the choice of a backend server by its work.
enum class ChoiceReason
{
    LeastWork,
    /// Without the kept parts of the prompt another server would have been chosen.
    CachedPrompt,
    /// Without the cost of other zones another server would have been chosen.
    Zone,
};

} // namespace lavendertally::routing
