// A source of registrations for tests.
#ifndef AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPREGISTRATIONS_H
#define AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPREGISTRATIONS_H

#include "root/groups/GroupMonitor.h"
#include "testing/line-group/LineGroup.h"

namespace amaranthspur {

/// Reads the registrations of a LineGroup.
class GroupRegistrations final : public ServerRegistrations {
public:
  explicit GroupRegistrations(linegroup::LineGroup &Group) : Group(Group) {}

  QCoro::Task<Result<std::vector<RegisteredServer>>> read(ServiceName,
                                                          TimePoint) override {
    co_return this->Group.registrations();
  }

  linegroup::LineGroup &Group;
};

} // namespace amaranthspur

#endif // AMARANTHSPUR_ROOT_GROUPS_TESTING_GROUPREGISTRATIONS_H
