#pragma once

#include <memory>

namespace lavendertally::admission {

class IAdmissionController;
struct AdmissionLimits;
struct AdmissionPolicy;

/// Makes admission controllers.
class AdmissionModule
{
public:
    /// \return controller that assumes a cold backend server
    static std::unique_ptr<IAdmissionController> makeController(const AdmissionLimits &limits,
                                                                const AdmissionPolicy &policy);

    /// \return first come, first served at a fixed concurrency, with an unbounded queue and no
    /// regard for cold start, deadlines, classes or teams; for comparison only
    static std::unique_ptr<IAdmissionController> makeNaiveController(const AdmissionLimits &limits);
};

} // namespace lavendertally::admission
