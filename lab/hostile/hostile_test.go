package hostile

import "testing"

// Guards against clients that take a node's memory or descriptors with heads, bodies or connections.
func TestNodeSurvives(t *testing.T) { survivesAll(t, startNode) }

// Guards against clients that take the memory or descriptors of a process of serve.
func TestServeSurvives(t *testing.T) { survivesAll(t, startServe) }

// survivesAll lets a crowd of each form reach each listener of a process. A process that has ended is started again for the next
// listener.
func survivesAll(t *testing.T, start func(*testing.T) *process) {
	names := start(t).targets
	for i := range names {
		t.Run(names[i].name, func(t *testing.T) {
			p := start(t)
			x := p.targets[i]
			awaitAnswer(t, x.ask)
			for _, f := range forms(x) {
				t.Run(f.name, func(t *testing.T) { p.survives(t, x, f) })
			}
		})
	}
}

// survives checks the process while the crowd's connections are open, and that an ordinary request is answered then and afterwards.
func (p *process) survives(t *testing.T, x target, f form) {
	if !p.alive() {
		t.Fatal("the process has ended")
	}
	p.resetPeak()
	c := &crowd{form: f, address: x.address}
	defer c.close()
	c.run()
	descriptors := p.descriptors(t)
	awaitAnswer(t, x.ask)
	peak := p.peakBytes(t)
	t.Logf("peak %d MiB, %d descriptors", peak>>20, descriptors)
	if peak > p.memoryBytes {
		t.Errorf("the process took %d MiB of memory, it has %d", peak>>20, p.memoryBytes>>20)
	}
	if descriptors > maxDescriptors-reservedDescriptors {
		t.Errorf("%d descriptors are open, %d of %d are reserved", descriptors, reservedDescriptors, maxDescriptors)
	}
	c.close()
	awaitAnswer(t, x.ask)
	if !p.alive() {
		t.Error("the process has ended")
	}
}
