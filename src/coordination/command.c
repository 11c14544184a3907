#include "coordination/command.h"

HrCommand *
hr_command_new (HrCommandKind kind)
{
  HrCommand *c = g_new0 (HrCommand, 1);
  c->kind = kind;
  return c;
}

void
hr_command_free (HrCommand *c)
{
  g_free (c->path);
  g_clear_pointer (&c->body, g_bytes_unref);
  g_free (c);
}

void
hr_effect_free (HrEffect *e)
{
  g_free (e->body);
  g_free (e->addr);
  g_free (e->path);
  g_free (e);
}
