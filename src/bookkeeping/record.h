/* Records of the state store: how a job stands in the state service.
 *   h/j/<id>       {"w":tag,"s":stance,"t":submitted,"q":per page,"j":[spec],"x":[tasks]}
 *                  ... "a":[ids]} as well where the job awaits others
 *   h/j/<id>       {"w":tag,"s":stance,"n":tasks,"d":done}        once final
 *                  ... "c":id} as well where a cancelled job took it along
 *   h/t/<id>/<n>   {"w":tag,"x":[tasks]}                          page n of a large job
 *   h/u/<id>/<per page>/<n>   the same, where the main record has "u":1 (record_split.c)
 * A task is 0 (never placed), 1 (done) or [machine, incarnation, attempt]. */
#pragma once
#include "bookkeeping/tables.h"

typedef struct {
  char *tag;
  HrJobState state;
  double submitted_at;
  guint tasks_per_page;
  gboolean sized_page_keys; /* pages stand under h/u */
  gboolean is_tombstone;
  guint32 n_tasks, n_done;
  HrJobSpec spec;
  json_t *extra;              /* members that this version does not know; NULL: none */
  json_t *tasks;              /* borrowed from the value */
  GStrv awaits;               /* ids of the jobs that it awaits, or NULL */
  const char *cancelled_with; /* of a tombstone; borrowed from the value; NULL: none */
} HrRecord;

/* Longer than any writer's tag: with it a main record is at its largest. */
#define HR_LONGEST_TAG "................................................................"

/* The first main record of a job. awaits: ids, or NULL; submitted: time of day. */
char *hr_record_first (const HrJobSpec *spec, const char *const *awaits, const HrNames *names,
                       double submitted, guint tasks_per_page, const char *tag);
/* The main record. pending: with the placements and endings under way. */
char *hr_record_main (const HrJob *job, const HrNames *names, const HrIntern *machines,
                      HrJobState state, const char *tag, gboolean pending);
char *hr_record_tombstone (const HrJob *job, HrJobState state, const char *tag);
char *hr_record_page (const HrJob *job, guint page, const HrIntern *machines, const char *tag,
                      gboolean pending);
/* Tasks from `first` on, as a page of `n` would hold them. */
char *hr_record_page_of (const HrJob *job, guint32 first, guint32 n, const HrIntern *machines,
                         const char *tag, gboolean pending);
gboolean hr_record_read (const json_t *value, HrNames *names, HrRecord *out);
void hr_record_clear (HrRecord *record);
/* Sets what is recorded of the tasks from `first` on. FALSE when it makes no sense. */
gboolean hr_record_tasks (HrJob *job, guint32 first, const json_t *tasks, HrIntern *machines);
