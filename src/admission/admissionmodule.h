#pragma once

#include <memory>

namespace lavendertally::framework {
class IRandom;
}

namespace lavendertally::admission {

class IAdmissionController;
class IPlaceAdmission;
class IServiceCapacity;
struct AdmissionLimits;
struct AdmissionPolicy;
struct PlaceLimits;

/// Factory of admission controllers.
class AdmissionModule
{
public:
    /// \return controller with cold start detection, deadlines and fair queueing; it assumes a cold
    /// backend server until completions show otherwise
    static std::unique_ptr<IAdmissionController> makeController(const AdmissionLimits &limits,
                                                                const AdmissionPolicy &policy);

    /// \return first-come-first-served controller with a fixed concurrency and an unbounded queue.
    /// It ignores cold start, deadlines, priority classes and teams; a baseline for comparison.
    static std::unique_ptr<IAdmissionController> makeNaiveController(const AdmissionLimits &limits);

    /// \return place admission of a gateway for all services; the references must outlive it
    static std::unique_ptr<IPlaceAdmission> makePlaceAdmission(const IServiceCapacity &capacity,
                                                               framework::IRandom &random,
                                                               const PlaceLimits &limits);
};

} // namespace lavendertally::admission
