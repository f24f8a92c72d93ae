#include "Placement/Lease.h"

int main()
{
    const Tanagerbay::Placement::LeaseWatch absent;
    const auto step = Tanagerbay::Placement::decideClaim(absent, Tanagerbay::Common::Time());
    return step == Tanagerbay::Placement::LeaseStep::Claim ? 0 : 1;
}
